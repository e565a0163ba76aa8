package standins2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers ask at once about a new dossier, whose prompt has 700 parts, and three of nine model servers crash
 * one after the other before its first answer. Other callers go on posting to plain servers, which nothing happens to.
 */
public final class ManyParts {
    private static final String[] ZONES = {"depo-sever", "depo-juh", "depo-stred"};
    private static final int MODEL_SERVERS = 9;
    private static final int RELAYS = 2;

    /** The prompt: its list takes 8.4 KB of the 16 KB that the head of a request may have. */
    private static final int PARTS = 700;

    private static final int PART_TOKENS = 71;

    /** Prompt tokens that a model server reads in a ms. */
    private static final double TOKENS_PER_MILLI = 42.6;

    private static final int READERS = 24;
    private static final int POSTERS = 20;
    private static final long POST_PAUSE_MILLIS = 100;
    private static final long POST_WORK_MILLIS = 20;

    /** The timeout of the posts' route, and how much later an answer must be there. */
    private static final long TIMEOUT_MILLIS = 800;

    private static final long LATE_MILLIS = TIMEOUT_MILLIS + 500;

    /** How long the client of a post waits. */
    private static final int CLIENT_MILLIS = 1_500;

    /** The disruption: one server crashes, and starts anew a second later; three of them, this far apart. */
    private static final int CRASHES = 3;

    private static final long BETWEEN_CRASHES_MILLIS = 350;
    private static final long DOWN_MILLIS = 1_000;

    private final boolean trouble;
    private final Record record;
    private final Map<Integer, Server> modelServers = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> held = new ConcurrentHashMap<>();
    private final Queue<Long> postsTaken = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger readersAnswered = new AtomicInteger();
    private volatile boolean ended;

    private ManyParts(boolean trouble, Record record) {
        this.trouble = trouble;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int result = 2;
        try {
            result = new ManyParts(trouble, record).play();
        } catch (Exception failed) {
            record.line("the case couldn't run: " + failed);
        }
        record.line("exit " + result);
        System.exit(result);
    }

    private int play() throws Exception {
        Path directory = Files.createTempDirectory("review-2");
        List<Relay> relays = new ArrayList<>();
        try (LogStore store = new LogStore()) {
            store.put("keyed.op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
            store.put("keyed.op", "config", Site.configuration(1));
            for (int number = 0; number < ZONES.length; number++) {
                Server server = new Server((request, channel) -> post(request, channel));
                store.put("keyed.servers", "p-" + number, Site.plainServer(server.address(), ZONES[number]));
            }
            for (int number = 0; number < MODEL_SERVERS; number++) {
                start(store, number, 0);
            }
            for (int number = 0; number < RELAYS; number++) {
                relays.add(new Relay(directory, "front-" + number, ZONES[number], store.address()));
            }
            for (Relay relay : relays) {
                relay.awaitReady();
            }
            Thread.sleep(2_000);
            for (int number = 0; number < POSTERS; number++) {
                int own = number;
                Background.run(() -> sendPosts(relays.get(own % RELAYS), own));
            }
            Thread.sleep(3_000);
            List<Thread> readers = new ArrayList<>();
            for (int number = 0; number < READERS; number++) {
                int own = number;
                readers.add(Background.run(() -> read(relays.get(own % RELAYS), own)));
            }
            if (trouble) {
                crashOneAfterTheOther(store);
            }
            for (Thread reader : readers) {
                reader.join(20_000);
            }
            Thread.sleep(15_000);
            ended = true;
            Thread.sleep(2_000);
            return judge(relays);
        } finally {
            relays.forEach(Relay::close);
        }
    }

    private void crashOneAfterTheOther(LogStore store) throws Exception {
        for (int crash = 0; crash < CRASHES; crash++) {
            Thread.sleep(BETWEEN_CRASHES_MILLIS);
            // One that has work: three of nine.
            int number = held.entrySet().stream()
                    .filter(server -> server.getValue().get() > 0)
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElse(crash);
            held.get(number).set(0);
            record.line("model server " + number + " crashes");
            modelServers.get(number).close();
            int lifetime = crash + 1;
            Background.run(() -> {
                Thread.sleep(DOWN_MILLIS);
                start(store, number, lifetime);
                record.line("model server " + number + " has started anew");
            });
        }
    }

    private void start(LogStore store, int number, int lifetime) throws Exception {
        String instance = "m-" + number + "-" + lifetime;
        AtomicInteger running = new AtomicInteger();
        Server server = new Server((request, channel) -> generate(number, instance, running, request, channel));
        held.put(number, running);
        modelServers.put(number, server);
        store.put("keyed.servers", instance, Site.modelServer(server.address(), ZONES[number % ZONES.length], 1));
    }

    private int judge(List<Relay> relays) {
        boolean alive = relays.stream().allMatch(Relay::isAlive);
        long longest = postsTaken.stream().mapToLong(Long::longValue).max().orElse(0);
        record.line(postsTaken.size() + " posts, " + unansweredAtTimeout + " of them unanswered at their timeout, "
                + unansweredLater + " of these half a second later too, the longest took " + longest
                + " ms; readers answered with 200: " + readersAnswered + "; relays alive: " + alive);
        if (postsTaken.size() < 500 || !alive) {
            return alive ? 2 : 1;
        }
        boolean many = unansweredAtTimeout.get() >= POSTERS;
        return many && 2 * unansweredLater.get() > unansweredAtTimeout.get() ? 1 : 0;
    }

    private void sendPosts(Relay relay, int poster) throws Exception {
        Channel channel = null;
        for (int number = 0; !ended; number++) {
            String id = "p" + poster + "n" + number;
            long sent = System.nanoTime();
            String got;
            try {
                if (channel == null) {
                    channel = Channel.to(relay.callers());
                    channel.socket.setSoTimeout(CLIENT_MILLIS);
                }
                channel.write(Site.request("POST", "/post/2f", id, CLIENT_MILLIS, "", "entry " + id));
                Message answer = Message.read(channel.in);
                got = answer == null ? "the end" : Integer.toString(answer.status());
                if (answer == null || "close".equalsIgnoreCase(answer.header("connection"))) {
                    channel.close();
                    channel = null;
                }
            } catch (java.io.IOException cut) {
                got = cut.toString();
                if (channel != null) {
                    channel.close();
                }
                channel = null;
            }
            long taken = (System.nanoTime() - sent) / 1_000_000;
            postsTaken.add(taken);
            record.line("post " + id + " got " + got + " after " + taken + " ms");
            if (taken > TIMEOUT_MILLIS) {
                unansweredAtTimeout.incrementAndGet();
            }
            if (taken > LATE_MILLIS) {
                unansweredLater.incrementAndGet();
            }
            Thread.sleep(POST_PAUSE_MILLIS);
        }
    }

    private void read(Relay relay, int reader) throws Exception {
        StringBuilder parts = new StringBuilder();
        for (int part = 0; part < PARTS; part++) {
            parts.append(Integer.toHexString(0x5c1e0000 + part)).append(':').append(PART_TOKENS).append(',');
        }
        parts.append(Integer.toHexString(0x91bd0000 + reader)).append(":40");
        String headers = "X-Model: m0\nX-Token-Usage: " + (PARTS * PART_TOKENS + 40) + ",20\nX-Prompt-Prefix: " + parts
                + "\n";
        for (int attempt = 0; attempt < 2; attempt++) {
            String id = "r" + reader + "t" + attempt;
            try (Channel channel = Channel.to(relay.callers())) {
                channel.socket.setSoTimeout(8_000);
                channel.write(Site.request("POST", "/check/2f", id, 4000, headers, "question " + reader));
                Message answer = Message.read(channel.in);
                record.line("reader got " + (answer == null ? "the end" : answer.status()) + " for " + id);
                if (answer != null && answer.status() == 200) {
                    readersAnswered.incrementAndGet();
                    return;
                }
            } catch (java.io.IOException cut) {
                record.line("reader got no answer for " + id + ": " + cut);
            }
            Thread.sleep(200);
        }
    }

    private void post(Message request, Channel channel) throws Exception {
        String id = request.header("x-request-id");
        record.line("a plain server runs " + id);
        Thread.sleep(POST_WORK_MILLIS);
        String body = "done " + id;
        channel.write("HTTP/1.1 200 OK\nX-Request-Id: " + id + "\nX-Response-Signature: 3e1b.07." + id
                + "\nX-Server-Load: 1,0,6\nContent-Length: " + body.length() + "\n\n" + body);
    }

    private void generate(int number, String instance, AtomicInteger running, Message request, Channel channel)
            throws Exception {
        if (!instance.equals(request.header("x-expect-instance"))) {
            channel.write("HTTP/1.1 421 Misdirected Request\nX-Request-Id: " + request.header("x-request-id")
                    + "\nX-Instance-Id: " + instance + "\nContent-Length: 0\n\n");
            return;
        }
        if (request.start.startsWith("GET /report")) {
            String report = "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
                    + "\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":1,\"kv_used\":0,\"kv_total\":65637,"
                    + "\"handles\":0}";
            channel.write("HTTP/1.1 200 OK\nContent-Type: application/json\nContent-Length: " + report.length()
                    + "\n\n" + report);
            return;
        }
        String id = request.header("x-request-id");
        record.line("model server " + number + " begins to read the prompt of " + id);
        running.incrementAndGet();
        Thread.sleep((long) (PARTS * PART_TOKENS / TOKENS_PER_MILLI));
        channel.write("HTTP/1.1 200 OK\nX-Request-Id: " + id + "\nX-Response-Signature: 3e1b.07." + id
                + "\nX-Weight-Versions: 1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n");
        for (int event = 1; event <= 10; event++) {
            channel.chunk("id: " + event + "\ndata: piece " + event + "\n\n");
            Thread.sleep(10);
        }
        channel.chunk("");
        running.decrementAndGet();
    }
}
