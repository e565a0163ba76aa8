package org.rattanrudder.standins;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.rattanrudder.core.model.Address;

/** The HTTP server under a stand-in: gives each call a thread, and shows the faults that it was told to. */
final class StandInServer implements Closeable {
    private static final AttachmentKey<Long> FIRST_SEEN = AttachmentKey.create(Long.class);
    private static final int PART_BYTES = 16 * 1024;
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });

    private final StandInHandler handler;
    private final Predicate<String> onLink;
    private final boolean refusesInOutage;
    private final Faults faults = new Faults();
    private final Pace pace = new Pace(faults::bytesPerSecond);
    private final LinkMeter meter = new LinkMeter();
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Undertow server;

    /**
     * Starts a server.
     *
     * @param listen where to listen; port 0 for any free one
     * @param handler answers the calls
     * @param onLink whether the bodies of calls with this path are counted and held to the link's rate
     * @param refusesInOutage whether {@code down} answers 503, in place of breaking the connection
     */
    StandInServer(InetSocketAddress listen, StandInHandler handler, Predicate<String> onLink, boolean refusesInOutage) {
        this.handler = handler;
        this.onLink = onLink;
        this.refusesInOutage = refusesInOutage;
        server = Undertow.builder()
                .addHttpListener(listen.getPort(), listen.getAddress().getHostAddress())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .setHandler(exchange -> exchange.dispatch(THREADS, this::serveOrBreakOff))
                .build();
        server.start();
    }

    Address address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    Faults faults() {
        return faults;
    }

    LinkMeter meter() {
        return meter;
    }

    @Override
    public void close() {
        closed.countDown();
        server.stop();
    }

    private void serveOrBreakOff(HttpServerExchange exchange) {
        try {
            serve(exchange);
        } catch (IOException broken) {
            breakOff(exchange);
        }
    }

    private void serve(HttpServerExchange exchange) throws IOException {
        exchange.startBlocking();
        long firstSeen = firstSeen(exchange.getConnection());
        StandInCall call = new StandInCall(exchange, readBody(exchange));
        if (call.is("POST", "/fault")) {
            takeFaults(call);
            return;
        }
        hangIfSilent(exchange, firstSeen);
        Pace.waitUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faults.delayMillis()));
        if (faults.isDown() && !refusesInOutage) {
            breakOff(exchange);
            return;
        }
        boolean hasEffect = !exchange.getRequestMethod().equalToString("GET");
        boolean loseAnswer = hasEffect && faults.takeLostAnswer();
        Reply reply = answer(call);
        if (loseAnswer) {
            breakOff(exchange);
            return;
        }
        hangIfSilent(exchange, firstSeen);
        write(exchange, firstSeen, reply);
    }

    private Reply answer(StandInCall call) throws IOException {
        if (faults.isDown()) {
            return Reply.error(503, "in an outage");
        }
        try {
            return handler.answer(call);
        } catch (IllegalArgumentException malformed) {
            return Reply.error(400, String.valueOf(malformed.getMessage()));
        }
    }

    private void takeFaults(StandInCall call) {
        faults.replace(call.json());
        if (call.json().path("drop_connections").asBoolean(false)) {
            connections.stream()
                    .filter(connection -> connection != call.exchange().getConnection())
                    .forEach(StandInServer::closeQuietly);
        }
        call.exchange().setStatusCode(200);
    }

    private long firstSeen(ServerConnection connection) {
        Long known = connection.getAttachment(FIRST_SEEN);
        if (known != null) {
            return known;
        }
        long now = System.nanoTime();
        connection.putAttachment(FIRST_SEEN, now);
        connections.add(connection);
        connection.addCloseListener(connections::remove);
        return now;
    }

    private byte[] readBody(HttpServerExchange exchange) throws IOException {
        boolean counted = onLink.test(exchange.getRequestPath());
        InputStream input = exchange.getInputStream();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] part = new byte[PART_BYTES];
        for (int length = input.read(part); length >= 0; length = input.read(part)) {
            if (counted) {
                pace.take(length);
                meter.written(length);
            }
            body.write(part, 0, length);
        }
        return body.toByteArray();
    }

    private void write(HttpServerExchange exchange, long firstSeen, Reply reply) throws IOException {
        exchange.setStatusCode(reply.status());
        reply.headers().forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        boolean streamed = reply.length() == Reply.UNKNOWN_LENGTH;
        if (!streamed) {
            exchange.setResponseContentLength(reply.length());
        }
        if (exchange.getRequestMethod().equalToString("HEAD")) {
            return;
        }
        boolean counted = onLink.test(exchange.getRequestPath());
        OutputStream output = exchange.getOutputStream();
        reply.body().writeTo((bytes, offset, length) -> {
            hangIfSilent(exchange, firstSeen);
            writeParts(output, counted, bytes, offset, length);
            if (streamed) {
                output.flush();
            }
        });
        output.close();
    }

    private void writeParts(OutputStream output, boolean counted, byte[] bytes, int offset, int length)
            throws IOException {
        int end = offset + length;
        for (int from = offset; from < end; from += PART_BYTES) {
            int part = Math.min(PART_BYTES, end - from);
            if (counted) {
                pace.take(part);
                meter.read(part);
            }
            output.write(bytes, from, part);
        }
    }

    /** Keeps the caller waiting for good, as a connection does that something in between has lost track of. */
    private void hangIfSilent(HttpServerExchange exchange, long firstSeen) throws IOException {
        if (!faults.isSilent(firstSeen)) {
            return;
        }
        try {
            closed.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        breakOff(exchange);
        throw new IOException("the stand-in was closed");
    }

    private static void breakOff(HttpServerExchange exchange) {
        closeQuietly(exchange.getConnection());
    }

    private static void closeQuietly(ServerConnection connection) {
        try {
            connection.close();
        } catch (IOException alreadyBroken) {
            // It is gone either way.
            return;
        }
    }
}
