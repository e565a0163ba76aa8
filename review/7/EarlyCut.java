package standins2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three servers answers some requests before their bodies are in, with an answer that has no length, stops in the
 * middle of it and closes the channel, so that the rest of the request is reset.
 */
public final class EarlyCut {
    private static final String[] ZONES = {"depo-sever", "depo-juh", "depo-stred"};
    private static final int CLIENTS = 16;
    private static final long PAUSE_MILLIS = 40;
    private static final long WORK_MILLIS = 20;
    private static final int REQUEST_BYTES = 40_000;
    private static final int ANSWER_BYTES = 3_000;
    private static final int CUT_AT_BYTES = 1_200;
    private static final double LINK_MBITS_PER_SECOND = 20;

    /** The disruption: at one server of three, for 5 s, 2 in 100 of its answers at the most. */
    private static final double MOST_CUT = 0.02;

    private static final int WINDOWS = 5;
    private static final long CALM_MILLIS = 3_000;

    private static final long TROUBLE_MILLIS = 5_000;

    private final boolean trouble;
    private final Record record;
    private final Map<String, List<String>> made = new ConcurrentHashMap<>();
    private final Map<String, Message> answers = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile boolean faulty;

    private EarlyCut(boolean trouble, Record record) {
        this.trouble = trouble;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int result = 2;
        try {
            result = new EarlyCut(trouble, record).play();
        } catch (Exception failed) {
            record.line("the case couldn't run: " + failed);
        }
        record.line("exit " + result);
        System.exit(result);
    }

    private int play() throws Exception {
        Path directory = Files.createTempDirectory("review-2");
        try (LogStore store = new LogStore()) {
            store.put("keyed.op", "config", Site.configuration(1));
            for (int number = 0; number < ZONES.length; number++) {
                int own = number;
                Server server = new Server(this::isCut, (request, channel) -> serve(own, request, channel));
                Link link = new Link(server.address(), LINK_MBITS_PER_SECOND);
                store.put("keyed.servers", "i-" + number, Site.plainServer(link.address(), ZONES[number]));
            }
            try (Relay relay = new Relay(directory, "front-1", ZONES[0], store.address())) {
                relay.awaitReady();
                Thread.sleep(1000);
                return load(relay);
            }
        }
    }

    private int load(Relay relay) throws Exception {
        List<Thread> clients = new ArrayList<>();
        long end = System.currentTimeMillis() + WINDOWS * (CALM_MILLIS + TROUBLE_MILLIS) + CALM_MILLIS;
        for (int number = 0; number < CLIENTS; number++) {
            int own = number;
            clients.add(Background.run(() -> call(relay, own, end)));
        }
        for (int window = 0; window < WINDOWS; window++) {
            Thread.sleep(CALM_MILLIS);
            answered.set(0);
            cut.set(0);
            faulty = trouble;
            record.line("trouble begins: " + faulty);
            Thread.sleep(TROUBLE_MILLIS);
            faulty = false;
            record.line("trouble ends: " + cut + " of " + answered + " answers of server 0 were cut");
        }
        for (Thread client : clients) {
            client.join(40_000);
        }
        Thread.sleep(1_500);
        return judge(relay);
    }

    private int judge(Relay relay) {
        int mixed = 0;
        for (Map.Entry<String, Message> answer : answers.entrySet()) {
            int status = answer.getValue().status();
            String got = status + " " + answer.getValue().text();
            if (status / 100 == 2 && !made.getOrDefault(answer.getKey(), List.of()).contains(got)) {
                mixed++;
                record.line("MIXED: " + answer.getKey() + " got " + got.length() + " characters as a whole success signed "
                        + answer.getValue().header("x-response-signature") + ", its server's whole answer has "
                        + made.getOrDefault(answer.getKey(), List.of()).stream().map(String::length).toList());
            }
        }
        record.line(answers.size() + " answers, " + mixed + " successes that aren't whole; relay alive: "
                + relay.isAlive());
        if (answers.size() < 1_000 || !relay.isAlive()) {
            return relay.isAlive() ? 2 : 1;
        }
        return mixed > 0 ? 1 : 0;
    }

    private void call(Relay relay, int client, long end) throws Exception {
        Channel channel = null;
        for (int number = 0; System.currentTimeMillis() < end; number++) {
            String id = "c" + client + "n" + number;
            try {
                if (channel == null) {
                    channel = Channel.to(relay.callers());
                    channel.socket.setSoTimeout(3_000);
                }
                channel.write(Site.request("POST", "/post/2f", id, 1500, "", "x".repeat(REQUEST_BYTES)));
                Message answer = Message.read(channel.in);
                if (answer != null) {
                    answers.put(id, answer);
                }
                record.line("client got " + (answer == null ? "the end" : answer.status()) + " for " + id);
                if (answer == null || "close".equalsIgnoreCase(answer.header("connection"))) {
                    channel.close();
                    channel = null;
                }
            } catch (java.io.IOException cut) {
                record.line("client got no answer for " + id + ": " + cut);
                channel.close();
                channel = null;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    /** Answers a request before its body is in, where the fault acts; returns whether it did. */
    private boolean isCut(Message head, Channel channel) throws Exception {
        boolean own = "i-0".equals(head.header("x-expect-instance"));
        if (!own || !faulty || cut.get() >= MOST_CUT * answered.get()) {
            return false;
        }
        cut.incrementAndGet();
        answered.incrementAndGet();
        String id = head.header("x-request-id");
        String whole = wholeBody(id);
        made.computeIfAbsent(id, unseen -> new CopyOnWriteArrayList<>()).add("200 " + whole);
        record.line("server 0 answers " + id + " early and stops after " + CUT_AT_BYTES + " bytes of " + ANSWER_BYTES);
        channel.write("HTTP/1.1 200 OK\nX-Request-Id: " + id + "\nX-Response-Signature: 3e1b.07." + id
                + "\nConnection: close\n\n" + whole.substring(0, CUT_AT_BYTES));
        return true;
    }

    private static String wholeBody(String id) {
        return ("entry " + id + " ").repeat(ANSWER_BYTES).substring(0, ANSWER_BYTES);
    }

    private void serve(int server, Message request, Channel channel) throws Exception {
        String id = request.header("x-request-id");
        if (!("i-" + server).equals(request.header("x-expect-instance"))) {
            channel.write("HTTP/1.1 421 Misdirected Request\nX-Request-Id: " + id + "\nX-Instance-Id: i-" + server
                    + "\nContent-Length: 0\n\n");
            return;
        }
        if (server == 0) {
            answered.incrementAndGet();
        }
        Thread.sleep(WORK_MILLIS);
        String body = wholeBody(id);
        made.computeIfAbsent(id, unseen -> new CopyOnWriteArrayList<>()).add("200 " + body);
        record.line("server " + server + " answers " + id);
        channel.write("HTTP/1.1 200 OK\nX-Request-Id: " + id + "\nX-Response-Signature: 3e1b.07." + id
                + "\nX-Server-Load: 1,0,6\nContent-Length: " + body.length() + "\n\n" + body);
    }
}
