package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers post large bodies, within the configured limit, to one relay at once.
 *
 * <p>Exits with 1 if the relay ends by itself and, by that, closes more than three kept channels without an answer
 * whose requests it had passed on; with 0 if it closes no more than three, and with 2 if the case couldn't run.
 */
public final class Uploads {
    private static final int KEPT_CALLERS = 16;
    private static final int UPLOADS = 32;
    private static final int UPLOADS_AT_ONCE_WITHOUT_TROUBLE = 4;
    private static final int UPLOAD_BYTES = 4_000_000;
    private static final int UPLOAD_BYTES_PER_SECOND = 2_000_000;
    private static final int PIECE_BYTES = 50_000;
    private static final int WORK_MILLIS = 150;
    private static final int DEADLINE_MILLIS = 8_000;

    private final Record record;
    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger uploadsAnswered = new AtomicInteger();
    private volatile boolean over;

    private Uploads(Record record) {
        this.record = record;
    }

    /** Runs the case; the arguments are the folder of its record and one for temporary files. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path directory = Path.of(arguments[1]);
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            code = new Uploads(record).run(directory, trouble);
        } catch (IOException failed) {
            failed.printStackTrace();
        }
        System.exit(code);
    }

    private int run(Path directory, boolean trouble) throws IOException, InterruptedException {
        try (Store store = new Store((topic, offset, content) -> {});
                Http.Server first = new Http.Server((request, out) -> serve("i-1", request, out));
                Http.Server second = new Http.Server((request, out) -> serve("i-2", request, out));
                Http.Server third = new Http.Server((request, out) -> serve("i-3", request, out))) {
            store.put(
                    "keyed.op",
                    "config",
                    Site.configuration(
                            1,
                            15_000,
                            List.of(Site.route("supplier-hold", "non_idempotent", "comptoir", DEADLINE_MILLIS, 1))));
            store.put("keyed.servers", "i-1", Site.server("comptoir", first.address(), ""));
            store.put("keyed.servers", "i-2", Site.server("comptoir", second.address(), ""));
            store.put("keyed.servers", "i-3", Site.server("comptoir", third.address(), ""));
            try (Relay relay = new Relay(directory, "front-limoilou-1", store.address(), 3_000);
                    Relay other = new Relay(directory, "front-limoilou-2", store.address(), 3_000)) {
                relay.awaitReady();
                other.awaitReady();
                return play(relay, trouble);
            }
        }
    }

    private void serve(String server, Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("x-request-id");
        run.add(id);
        record.line(server + " runs " + id + ", whose body has " + request.body().length + " bytes");
        Thread.sleep(WORK_MILLIS);
        Http.answer(
                out,
                200,
                "X-Request-Id: " + id + "\r\nX-Response-Signature: s-" + id + "\r\nKeep-Alive: timeout=10\r\n",
                new byte[800]);
    }

    private int play(Relay relay, boolean trouble) throws InterruptedException {
        for (int caller = 0; caller < KEPT_CALLERS; caller++) {
            String name = "kept-" + caller + "-";
            Http.start(() -> callAgainAndAgain(relay, name));
        }
        Thread.sleep(6_000);
        record.line(answered + " answers so far; " + UPLOADS + " uploads begin, "
                + (trouble ? "all at once" : UPLOADS_AT_ONCE_WITHOUT_TROUBLE + " at a time"));
        Semaphore turns = new Semaphore(trouble ? UPLOADS : UPLOADS_AT_ONCE_WITHOUT_TROUBLE);
        CountDownLatch ended = new CountDownLatch(UPLOADS);
        for (int i = 0; i < UPLOADS; i++) {
            String id = "upload-" + i;
            Http.start(() -> {
                try {
                    turns.acquire();
                    upload(relay, id);
                    turns.release();
                } catch (InterruptedException interrupted) {
                    record.line(id + " is interrupted");
                }
                ended.countDown();
            });
        }
        ended.await(60, TimeUnit.SECONDS);
        Thread.sleep(1_000);
        over = true;
        boolean alive = relay.process().isAlive();
        record.line("the relay " + (alive ? "runs" : "has ended by itself with code " + relay.process().exitValue()));
        record.line("uploads answered with 200: " + uploadsAnswered + " of " + UPLOADS);
        record.line("kept channels that were closed without an answer though a server had the request: " + lost);
        return lost.get() > 3 ? 1 : alive && answered.get() > 0 ? 0 : 2;
    }

    /** Posts one request after the other on a kept channel, until the channel is closed. */
    private void callAgainAndAgain(Relay relay, String name) {
        String id = name + "0";
        int number = 0;
        try (Socket socket = new Socket("127.0.0.1", relay.callers)) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            while (!over) {
                id = name + number;
                post(socket.getOutputStream(), id, 600);
                socket.getOutputStream().write(new byte[600]);
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer == null) {
                    throw new IOException("closed");
                }
                answered.incrementAndGet();
                if (answer.status() != 200) {
                    record.line("caller gets " + answer.status() + " for " + id);
                }
                number++;
                Thread.sleep(20);
            }
        } catch (IOException closed) {
            boolean counts = number > 0 && run.contains(id);
            if (counts) {
                lost.incrementAndGet();
            }
            record.line("the channel of " + id + " is closed without an answer"
                    + (counts ? ", though a server has run it: " : ": ") + closed);
        } catch (InterruptedException interrupted) {
            record.line(id + " is interrupted");
        }
    }

    private static void post(OutputStream out, String id, int bytes) throws IOException {
        out.write(("POST /supplier-hold/x HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: " + bytes + "\r\n\r\n")
                .getBytes());
    }

    /** Posts a large body at the pace of a caller's own link. */
    private void upload(Relay relay, String id) throws InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", relay.callers)) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            post(socket.getOutputStream(), id, UPLOAD_BYTES);
            byte[] piece = new byte[PIECE_BYTES];
            long began = System.nanoTime();
            for (int sent = 0; sent < UPLOAD_BYTES; sent += PIECE_BYTES) {
                socket.getOutputStream().write(piece);
                long due = began + (sent + PIECE_BYTES) * 1_000_000_000L / UPLOAD_BYTES_PER_SECOND;
                Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
            }
            Http.Message answer = Http.read(socket.getInputStream());
            if (answer != null && answer.status() == 200) {
                uploadsAnswered.incrementAndGet();
            }
            record.line(id + " gets " + (answer == null ? "no answer" : answer.start()));
        } catch (IOException closed) {
            record.line("the channel of " + id + " is closed: " + closed);
        }
    }
}
