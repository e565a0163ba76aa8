package review;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.FileReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that read large answers slowly while their relay gets SIGTERM.
 *
 * <p>Exits with 1 if an answer that its server had sent in full ends early, though neither the caller's time limit nor
 * the route's timeout was reached; with 0 if all are complete, and with 2 if the case couldn't run.
 */
public final class SlowReaders {
    private static final int CALLERS = 32;
    private static final int STEP_BYTES = 10_000;
    private static final int BYTES_PER_SECOND = 300_000;
    private static final int TIMEOUT_MILLIS = 30_000;

    /** In the last sixth of the grace period the rule excuses a cut. */
    private static final double COUNTED_SECONDS = 8 * 5 / 6.0;

    private final Record record;
    private final Set<String> sentInFull = ConcurrentHashMap.newKeySet();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger notCounted = new AtomicInteger();

    private SlowReaders(Record record) {
        this.record = record;
    }

    /** Runs the case; the arguments are the folder of its record and one for temporary files. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Path.of(arguments[1]);
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            code = new SlowReaders(record).run(directory, trouble);
        } catch (IOException failed) {
            failed.printStackTrace();
        }
        System.exit(code);
    }

    private int run(Path directory, boolean trouble) throws IOException, InterruptedException {
        try (Store store = new Store((topic, offset, content) -> {});
                Http.Server server = new Http.Server((request, out) -> {
                    String id = request.header("x-request-id");
                    String wanted = request.header("x-answer-bytes");
                    record.line("server got " + id + " " + request.start());
                    Http.answer(
                            out,
                            200,
                            "X-Request-Id: " + id + "\r\nX-Response-Signature: s-" + id
                                    + "\r\nKeep-Alive: timeout=20\r\n",
                            new byte[wanted.isEmpty() ? 800 : Integer.parseInt(wanted)]);
                    sentInFull.add(id);
                    record.line("server has sent the whole answer of " + id);
                })) {
            store.put(
                    "keyed.op",
                    "config",
                    Site.configuration(
                            1, 20_000, List.of(Site.route("summary", "idempotent", "comptoir", TIMEOUT_MILLIS, 1))));
            store.put("keyed.servers", "i-1", Site.server("comptoir", server.address(), ""));
            try (Relay stopped = new Relay(directory, "front-limoilou-1", store.address(), 3_000);
                    Relay other = new Relay(directory, "front-limoilou-2", store.address(), 3_000)) {
                stopped.awaitReady();
                other.awaitReady();
                Thread.sleep(4_000);
                return play(stopped, trouble);
            }
        }
    }

    private int play(Relay relay, boolean trouble) throws IOException, InterruptedException {
        List<Socket> kept = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(new InetSocketAddress("127.0.0.1", relay.callers));
            socket.setSoTimeout(TIMEOUT_MILLIS);
            kept.add(socket);
            send(socket, "small-" + i, "");
            int status = Http.read(socket.getInputStream()).status();
            if (status != 200) {
                record.line("couldn't run: small-" + i + " got " + status);
                return 2;
            }
        }
        int smallest = sendBufferBytes() - CALLERS * 2 / 3 * STEP_BYTES;
        CountDownLatch ended = new CountDownLatch(CALLERS);
        for (int i = 0; i < CALLERS; i++) {
            String id = "large-" + i;
            int bytes = smallest + i * STEP_BYTES;
            Socket socket = kept.get(i);
            send(socket, id, "X-Answer-Bytes: " + bytes + "\r\n");
            record.line("caller sends " + id + ", whose answer has " + bytes + " bytes");
            Http.start(() -> {
                read(socket, id, bytes);
                ended.countDown();
            });
        }
        Thread.sleep(1_000);
        double endedAfter = 0;
        if (trouble) {
            double signalled = record.seconds();
            record.line("SIGTERM to " + relay.name() + ", " + sentInFull.size() + " answers were sent in full by then");
            relay.signal("TERM");
            relay.process().waitFor(12, TimeUnit.SECONDS);
            endedAfter = record.seconds() - signalled;
            record.line(relay.name() + " has ended " + Math.round(endedAfter * 1_000) + " ms after SIGTERM");
        }
        ended.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        record.line("complete " + complete + ", cut though their server had sent all before SIGTERM " + cut
                + ", others " + notCounted);
        if (cut.get() > 0 && endedAfter < COUNTED_SECONDS) {
            return 1;
        }
        return complete.get() + cut.get() > 0 ? 0 : 2;
    }

    /** Returns how much the system takes for a connection before its writer has to wait. */
    private static int sendBufferBytes() {
        // Not Files.readString: it reads a byte first, and the file gives nothing after that.
        try (BufferedReader file = new BufferedReader(new FileReader("/proc/sys/net/ipv4/tcp_wmem"))) {
            String[] sizes = file.readLine().trim().split("\\s+");
            return Integer.parseInt(sizes[sizes.length - 1]);
        } catch (IOException unknown) {
            return 4_194_304;
        }
    }

    private static void send(Socket socket, String id, String header) throws IOException {
        socket.getOutputStream()
                .write(("GET /summary/x HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Request-Id: " + id
                                + "\r\nX-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\n" + header + "\r\n")
                        .getBytes());
    }

    /** Reads an answer at a steady pace. */
    private void read(Socket socket, String id, int bytes) {
        double began = record.seconds();
        int[] got = new int[1];
        try {
            Http.Message answer = Http.read(new Paced(socket.getInputStream(), got));
            boolean whole = answer != null && answer.status() == 200 && answer.body().length == bytes;
            (whole ? complete : notCounted).incrementAndGet();
            record.line(id + (answer == null ? " got no answer" : " got " + answer.start() + ", " + answer.body().length
                    + " bytes"));
        } catch (IOException ended) {
            boolean counts = sentInFull.contains(id) && record.seconds() - began < TIMEOUT_MILLIS / 1e3 - 1;
            (counts ? cut : notCounted).incrementAndGet();
            record.line(id + " is cut after " + got[0] + " bytes on the wire, "
                    + (counts ? "though its server had sent all: " : "not counted: ") + ended);
        }
    }

    /** Reads no faster than a slow caller does. */
    private static final class Paced extends InputStream {
        private final InputStream in;
        private final int[] got;
        private final byte[] buffer = new byte[16_384];
        private final long began = System.nanoTime();
        private int position;
        private int limit;

        Paced(InputStream in, int[] got) {
            this.in = in;
            this.got = got;
        }

        @Override
        public int read() throws IOException {
            if (position == limit) {
                long due = began + got[0] * 1_000_000_000L / BYTES_PER_SECOND;
                long ahead = (due - System.nanoTime()) / 1_000_000;
                if (ahead > 0) {
                    pause(ahead);
                }
                limit = in.read(buffer);
                position = 0;
                if (limit < 0) {
                    limit = 0;
                    return -1;
                }
                got[0] += limit;
            }
            return buffer[position++] & 0xFF;
        }

        private static void pause(long millis) throws IOException {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException interrupted) {
                throw new EOFException("interrupted");
            }
        }
    }
}
