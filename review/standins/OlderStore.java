package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The platform's store comes back from a copy some seconds old after a roll-out; then one relay is stopped and started,
 * and new weights are named. The servers don't check fences.
 *
 * <p>Exits with 1 if two machines have given orders with one fence number, or if a server has got a lower one after a
 * higher one; with 0 if neither, and with 2 if the case couldn't run.
 */
public final class OlderStore {
    private static final int ENGINES = 4;
    private static final double COPY_SECONDS = 8;
    private static final int BEAT_MILLIS = 1_200;
    private static final String ROUTE =
            "{\"name\":\"board-narrative\",\"host\":\"" + Site.HOST + "\",\"path_prefix\":\"/board/\","
                    + "\"kind\":\"stream\",\"timeout_ms\":12000,\"target_latency_ms\":1200,\"priority\":2,"
                    + "\"service\":\"atelier-llm\",\"max_attempts\":2,\"public\":true,\"sticky\":true,"
                    + "\"resumable\":true,\"gap_target_ms\":600}";

    private final Record record;
    private final Map<Long, String> holders = new HashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private int sharedFences;
    private int lowerFences;
    private int orders;
    private volatile boolean over;

    private OlderStore(Record record) {
        this.record = record;
    }

    /** Runs the case; the arguments are the folder of its record and one for temporary files. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Path.of(arguments[1]);
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            code = new OlderStore(record).run(directory, trouble);
        } catch (IOException failed) {
            failed.printStackTrace();
        }
        System.exit(code);
    }

    private synchronized void onOrder(String engine, String holder, long fence) {
        orders++;
        record.line(engine + " gets an order of " + holder + " with fence " + fence);
        String before = holders.putIfAbsent(fence, holder);
        if (before != null && !before.equals(holder)) {
            sharedFences++;
            record.line("fence " + fence + " was used by " + before + " before");
        }
        long seen = highest.merge(engine, fence, Math::max);
        if (seen > fence) {
            lowerFences++;
            record.line(engine + " had got fence " + seen + " before");
        }
    }

    private int run(Path directory, boolean trouble) throws IOException, InterruptedException {
        try (Store store = new Store((topic, offset, content) -> {});
                KvStore kv = new KvStore(record)) {
            store.put("keyed.op", "config", Site.configuration(1, 15_000, List.of(ROUTE)));
            List<Engine> engines = new ArrayList<>();
            for (int i = 1; i <= ENGINES; i++) {
                Engine engine = new Engine("i-" + i, "limoilou", record, kv, (request, part, id) -> {});
                engine.whenOrdered(this::onOrder);
                engine.whenLoaded(() -> store.put("keyed.servers", engine.id(), engine.entry(0)));
                store.put("keyed.servers", engine.id(), engine.entry(0));
                engines.add(engine);
            }
            Http.start(() -> beats(store, engines));
            try (Relay one = new Relay(directory, "front-limoilou-1", store.address(), 3_000);
                    Relay two = new Relay(directory, "front-limoilou-2", store.address(), 3_000);
                    Relay three = new Relay(directory, "front-limoilou-3", store.address(), 3_000)) {
                for (Relay relay : List.of(one, two, three)) {
                    relay.awaitReady();
                }
                Thread.sleep(1_000);
                play(store, List.of(one, two, three), trouble);
            }
        }
        record.line(orders + " orders; with a fence that another machine had used: " + sharedFences
                + "; lower than one that the server had got: " + lowerFences);
        return sharedFences + lowerFences > 0 ? 1 : orders > ENGINES ? 0 : 2;
    }

    private void play(Store store, List<Relay> relays, boolean trouble) throws IOException, InterruptedException {
        name(store, 2);
        Thread.sleep(6_000);
        String holder = holders.get(0L);
        if (trouble) {
            record.line("the platform's store is away");
            store.setAway(true);
            Thread.sleep(1_000);
            store.returnFromCopy(COPY_SECONDS);
            store.setAway(false);
            record.line("the platform's store is back, from a copy that is " + COPY_SECONDS + " s old");
        }
        Thread.sleep(4_000);
        Relay restarted = relays.stream()
                .filter(relay -> !relay.name().equals(holder))
                .findFirst()
                .orElseThrow();
        record.line("SIGTERM to " + restarted.name());
        restarted.signal("TERM");
        restarted.process().waitFor(10, TimeUnit.SECONDS);
        restarted.start();
        restarted.awaitReady();
        record.line(restarted.name() + " is ready again");
        Thread.sleep(1_000);
        name(store, 3);
        Thread.sleep(14_000);
        over = true;
    }

    private void name(Store store, int version) {
        store.put("keyed.op", "version/" + Engine.MODEL, "{\"model\":\"" + Engine.MODEL + "\",\"version\":" + version + "}");
        record.line("version " + version + " is named");
    }

    private void beats(Store store, List<Engine> engines) {
        for (int sequence = 1; !over; sequence++) {
            for (Engine engine : engines) {
                store.put("keyed.servers", engine.id(), engine.entry(sequence));
            }
            try {
                Thread.sleep(BEAT_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }
}
