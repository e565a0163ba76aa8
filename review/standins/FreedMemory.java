package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Two of eight servers leave and the others get new weights, while the platform's store turns one of three relays away.
 *
 * <p>Exits with 1 if a request has used memory from a store that was freed before the fetch had ended, with 0 if none
 * has, and with 2 if the case couldn't run.
 */
public final class FreedMemory {
    private static final int CONTEXTS = 76;
    private static final int CALLERS_OF_TWO = 60;
    private static final int CALLERS_OF_OTHERS = 8;
    private static final int BEAT_MILLIS = 1_200;
    private static final String ROUTE =
            "{\"name\":\"board-narrative\",\"host\":\"" + Site.HOST + "\",\"path_prefix\":\"/board/\","
                    + "\"kind\":\"stream\",\"timeout_ms\":12000,\"target_latency_ms\":1200,\"priority\":2,"
                    + "\"service\":\"atelier-llm\",\"max_attempts\":2,\"public\":true,\"sticky\":true,"
                    + "\"resumable\":true,\"gap_target_ms\":600}";

    private final Record record;
    private final AtomicInteger freedUsed = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicIntegerArray statuses = new AtomicIntegerArray(600);
    private volatile boolean over;

    private FreedMemory(Record record) {
        this.record = record;
    }

    /** Runs the case; the arguments are the folder of its record and one for temporary files. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Path.of(arguments[1]);
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            code = new FreedMemory(record).run(directory, trouble);
        } catch (IOException failed) {
            failed.printStackTrace();
        }
        System.exit(code);
    }

    private int run(Path directory, boolean trouble) throws IOException, InterruptedException {
        Engine.Judge judge = (request, part, engine) -> freedUsed.incrementAndGet();
        try (Store store = new Store((topic, offset, content) -> {});
                Store.Door doorOfOne = store.door();
                Store.Door doorOfTwo = store.door();
                Store.Door doorOfThree = store.door();
                KvStore kv = new KvStore(record)) {
            List<Engine> listed = new ArrayList<>();
            for (String id : List.of("i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-8", "i-9")) {
                listed.add(new Engine(id, "limoilou", record, kv, judge));
            }
            List<Engine> leaving = List.copyOf(listed.subList(6, 8));
            String engines = Site.configuration(1, 15_000, List.of(ROUTE));
            store.put(
                    "keyed.op", "config", engines.replace("\"services\":[", "\"services\":[" + kv.configuration() + ","));
            listed.forEach(engine -> {
                engine.whenLoaded(() -> beat(store, listed, engine, 0));
                beat(store, listed, engine, 0);
            });
            Http.start(() -> beats(store, listed));
            try (Relay one = new Relay(directory, "front-limoilou-1", doorOfOne.address(), 3_000);
                    Relay two = new Relay(directory, "front-limoilou-2", doorOfTwo.address(), 3_000);
                    Relay three = new Relay(directory, "front-limoilou-3", doorOfThree.address(), 3_000)) {
                for (Relay relay : List.of(one, two, three)) {
                    relay.awaitReady();
                }
                call(one, CALLERS_OF_OTHERS);
                call(two, CALLERS_OF_TWO);
                call(three, CALLERS_OF_OTHERS);
                for (int i = 0; i < 300 && kv.size() < CONTEXTS - 4; i++) {
                    Thread.sleep(100);
                }
                record.line("the store of KV cache holds " + kv.size() + " parts");
                if (kv.size() < CONTEXTS / 2) {
                    return 2;
                }
                play(store, doorOfTwo, listed, leaving, trouble);
            }
        }
        record.line(sent + " requests sent, answered 200: " + statuses.get(200) + ", 503: " + statuses.get(503)
                + ", 502: " + statuses.get(502) + ", 504: " + statuses.get(504));
        record.line("uses of memory that was freed before its fetch had ended: " + freedUsed);
        return freedUsed.get() > 0 ? 1 : 0;
    }

    private void play(Store store, Store.Door door, List<Engine> listed, List<Engine> leaving, boolean trouble)
            throws IOException, InterruptedException {
        if (trouble) {
            record.line("the platform's store turns front-limoilou-2 away");
            door.refuse(true);
        }
        Thread.sleep(50);
        synchronized (listed) {
            listed.removeAll(leaving);
            leaving.forEach(engine -> store.put("keyed.servers", engine.id(), null));
        }
        record.line("the entries of servers i-8 and i-9 are removed; they go on serving for 8 s");
        Thread.sleep(1_000);
        store.put("keyed.op", "version/" + Engine.MODEL, "{\"model\":\"" + Engine.MODEL + "\",\"version\":2}");
        record.line("version 2 is named");
        Thread.sleep(7_000);
        for (Engine engine : leaving) {
            engine.close();
        }
        record.line("servers i-8 and i-9 end");
        Thread.sleep(700);
        door.refuse(false);
        record.line("the platform's store serves all again");
        over = true;
        Thread.sleep(1_500);
    }

    private static void beat(Store store, List<Engine> listed, Engine engine, int sequence) {
        synchronized (listed) {
            if (listed.contains(engine)) {
                store.put("keyed.servers", engine.id(), engine.entry(sequence));
            }
        }
    }

    private void beats(Store store, List<Engine> listed) {
        for (int sequence = 1; !over; sequence++) {
            for (Engine engine : List.copyOf(listed)) {
                beat(store, listed, engine, sequence);
            }
            try {
                Thread.sleep(BEAT_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void call(Relay relay, int callers) {
        for (int caller = 0; caller < callers; caller++) {
            String prefix = relay.name() + "-" + caller + "-";
            Http.start(() -> {
                for (int number = 0; !over; number++) {
                    callOnce(relay, prefix + number);
                }
            });
        }
    }

    private void callOnce(Relay relay, String id) {
        int context = ThreadLocalRandom.current().nextInt(CONTEXTS);
        try (Socket socket = new Socket("127.0.0.1", relay.callers)) {
            socket.setSoTimeout(12_000);
            socket.getOutputStream()
                    .write(("POST /board/x HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Request-Id: " + id + "\r\nX-Model: "
                                    + Engine.MODEL + "\r\nX-Token-Usage: 8300,3\r\nX-Prompt-Prefix: c0" + context
                                    + ":8000,ab" + id.hashCode() + ":300\r\nX-Deadline-Ms: 12000\r\n"
                                    + "Content-Length: 0\r\n\r\n")
                            .getBytes());
            sent.incrementAndGet();
            Http.Message answer = Http.read(socket.getInputStream());
            int status = answer == null ? 0 : answer.status();
            statuses.incrementAndGet(status);
            if (status != 200) {
                record.line("caller gets " + status + " for " + id);
                Thread.sleep(200);
            }
        } catch (IOException | InterruptedException ended) {
            record.line("caller gets no answer for " + id + ": " + ended);
        }
    }
}
