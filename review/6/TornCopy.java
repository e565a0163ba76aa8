package standins2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three servers begins, now and then, to send a second copy of its answer right behind it, always behind one
 * that it has failed, and stops anywhere in the head of the copy.
 */
public final class TornCopy {
    private static final String[] ZONES = {"depo-sever", "depo-juh", "depo-stred"};
    private static final int CLIENTS = 40;
    private static final long PAUSE_MILLIS = 25;
    private static final long WORK_MILLIS = 20;
    /** The share of posts that a server fails, with the disruption and without, as in the site file for log-post. */
    private static final double FAILED_SHARE = 0.004;

    /** The disruption: at one server of three, for 5 s, 2 in 100 of its answers at the most. */
    private static final double MOST_DOUBLED = 0.02;

    /** Behind how many of its other answers than failures it begins a copy. */
    private static final double DOUBLED_OTHERS = 0.004;

    private static final int WINDOWS = 8;
    private static final long CALM_MILLIS = 3_000;

    private static final long TROUBLE_MILLIS = 5_000;

    private final boolean trouble;
    private final Record record;
    private final Map<String, List<String>> made = new ConcurrentHashMap<>();
    private final Map<String, Message> answers = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger doubled = new AtomicInteger();
    private volatile boolean faulty;

    private TornCopy(boolean trouble, Record record) {
        this.trouble = trouble;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int result = 2;
        try {
            result = new TornCopy(trouble, record).play();
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
            List<Server> servers = new ArrayList<>();
            for (int number = 0; number < ZONES.length; number++) {
                int own = number;
                Random random = new Random(own);
                Server server = new Server((request, channel) -> serve(own, random, request, channel));
                servers.add(server);
                store.put("keyed.servers", "i-" + number, Site.plainServer(server.address(), ZONES[number]));
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
            doubled.set(0);
            faulty = trouble;
            record.line("trouble begins: " + faulty);
            Thread.sleep(TROUBLE_MILLIS);
            faulty = false;
            record.line("trouble ends: " + doubled + " of " + answered + " answers of server 0 were begun again");
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
            String signature = answer.getValue().header("x-response-signature");
            String got = answer.getValue().status() + " " + answer.getValue().text();
            boolean success = answer.getValue().status() / 100 == 2;
            // A success must be what a server gave; so must the status of a failure that bears a server's signature.
            if ((success || signature != null)
                    && !made.getOrDefault(answer.getKey(), List.of()).contains(got)) {
                mixed++;
                record.line("MIXED: " + answer.getKey() + " got \"" + got + "\" signed " + signature
                        + ", and its servers had answered " + made.get(answer.getKey()));
            }
        }
        record.line(answers.size() + " answers, " + mixed + " signed answers that no server has given; relay alive: "
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
                channel.write(Site.request("POST", "/post/2f", id, 1500, "", "entry " + id));
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

    private void serve(int server, Random random, Message request, Channel channel) throws Exception {
        String id = request.header("x-request-id");
        String expected = request.header("x-expect-instance");
        if (expected != null && !expected.equals("i-" + server)) {
            channel.write("HTTP/1.1 421 Misdirected Request\nX-Instance-Id: i-" + server
                    + "\nContent-Length: 0\n\n");
            return;
        }
        Thread.sleep(WORK_MILLIS);
        boolean fails = random.nextDouble() < FAILED_SHARE;
        String status = fails ? "500 Internal Server Error" : "200 OK";
        String body = (fails ? "no entry for " : "entry for ") + id;
        made.computeIfAbsent(id, unseen -> new CopyOnWriteArrayList<>()).add(status.substring(0, 3) + " " + body);
        record.line("server " + server + " answers " + id + " with " + status);
        String head = "HTTP/1.1 " + status + "\nX-Request-Id: " + id + "\nX-Response-Signature: 3e1b.07." + id
                + "\nX-Server-Load: 1,0,6\nContent-Length: " + body.length() + "\n\n";
        boolean begun = false;
        if (server == 0) {
            answered.incrementAndGet();
            begun = faulty
                    && doubled.get() < MOST_DOUBLED * answered.get()
                    && (fails || random.nextDouble() < DOUBLED_OTHERS);
        }
        String copy = begun ? head.substring(0, 1 + random.nextInt(head.length() - 1)) : "";
        if (begun) {
            doubled.incrementAndGet();
            record.line("server " + server + " begins a second copy of its answer to " + id + ", " + copy.length()
                    + " of the " + head.length() + " characters of its head");
        }
        channel.write(head + body + copy);
    }
}
