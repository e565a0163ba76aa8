package org.rattanrudder.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.EnumSet;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.TestServer;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.log.LogCodec;

class LogFollowerTest {
    private static final int SECONDS = 10;

    /** How long a read may bring no result; one that brings a page takes less, on a busy machine too. */
    private static final long MAX_READ_MILLIS = 1_500;

    /** Reads that bring nothing, after which the gap between two reads is the longest. */
    private static final int EMPTY_READS = 6;

    private static final long LONGEST_GAP_MILLIS = 2_000;

    private static final LogBatch BATCH = new LogBatch(7, 1, List.of());

    private final HttpCaller caller = HttpCaller.create(1);
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final BlockingQueue<String> statusChanges = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        caller.close();
        timer.shutdownNow();
    }

    private static String page(long first, long next, long... offsets) {
        String data = Base64.getEncoder().encodeToString(LogCodec.encode(BATCH));
        String records = java.util.Arrays.stream(offsets)
                .mapToObj(offset -> "{\"offset\":" + offset + ",\"data\":\"" + data + "\"}")
                .collect(Collectors.joining(","));
        return "{\"first\":" + first + ",\"next\":" + next + ",\"records\":[" + records + "]}";
    }

    /**
     * A process must not apply a record twice, skip one or stop following when the log repeats records, drops old ones
     * after their retention or fails in between.
     */
    @Test
    void recordsAreReadOnceAndInOrder() throws Exception {
        Queue<String> pages = new ArrayDeque<>(
                List.of(page(1, 4, 1, 2), page(1, 4, 2, 3), "not JSON", page(20, 23, 20, 21, 22), page(20, 23)));
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        try (TestServer log = new TestServer(exchange -> answer(exchange, queries, pages))) {
            new LogFollower(
                            caller,
                            timer,
                            log.address(),
                            LogStream.CONFIGURATION,
                            new RecordingListener(reads),
                            new RecordingAvailabilityListener(statusChanges))
                    .start();

            List<String> expected =
                    List.of("[1, 2] false", "[3] true", "failed", "[20, 21, 22] true", "[] true", "failed");
            for (String each : expected) {
                assertThat(reads.poll(SECONDS, TimeUnit.SECONDS))
                        .as(() -> "availability events: " + statusChanges)
                        .isEqualTo(each);
            }
        }
        assertThat(statusChanges).hasSize(3);
        assertThat(statusChanges.poll()).startsWith("lost: malformed: ");
        assertThat(statusChanges.poll()).isEqualTo("regained");
        assertThat(statusChanges.poll()).isEqualTo("lost: status 503");
        assertThat(queries.stream().limit(5))
                .containsExactly(
                        "from=1&wait_millis=0",
                        "from=3&wait_millis=0",
                        "from=4&wait_millis=0",
                        "from=4&wait_millis=0",
                        "from=23&wait_millis=0");
    }

    /** Guards against a process that follows the log no more, without a word, since its listener once failed. */
    @Test
    void aPageWhoseListenerFailsIsReadAgain() throws Exception {
        Queue<String> pages = new ArrayDeque<>(List.of(page(1, 3, 1, 2), page(1, 3, 1, 2)));
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        RecordingListener recording = new RecordingListener(reads);
        LogFollower.Listener failingOnce = new LogFollower.Listener() {
            private boolean failed;

            @Override
            public void onRecords(LogStream stream, List<LogRecord> records, boolean caughtUp) {
                if (!failed) {
                    failed = true;
                    throw new IllegalStateException("once");
                }
                recording.onRecords(stream, records, caughtUp);
            }

            @Override
            public void onReadFailed(LogStream stream) {
                recording.onReadFailed(stream);
            }
        };
        try (TestServer log = new TestServer(exchange -> answer(exchange, new LinkedBlockingQueue<>(), pages))) {
            new LogFollower(
                            caller,
                            timer,
                            log.address(),
                            LogStream.CONFIGURATION,
                            failingOnce,
                            new RecordingAvailabilityListener(statusChanges))
                    .start();

            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("failed");
            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("[1, 2] true");
        }
        assertThat(statusChanges.poll()).contains("once");
    }

    /** Guards against the same where a call brings no result at all. */
    @Test
    void aReadWithoutAResultIsRepeated() throws Exception {
        BlockingQueue<String> queries = new LinkedBlockingQueue<>();
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        try (TestServer log = new TestServer(exchange -> {
            queries.add(exchange.getQueryString());
            if (queries.size() == 1) {
                exchange.dispatch(() -> {});
            } else {
                exchange.getResponseSender().send(page(1, 2, 1));
            }
        })) {
            new LogFollower(
                            caller,
                            timer,
                            log.address(),
                            LogStream.CONFIGURATION,
                            new RecordingListener(reads),
                            new RecordingAvailabilityListener(statusChanges),
                            MAX_READ_MILLIS)
                    .start();

            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("failed");
            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("[1] true");
        }
        assertThat(statusChanges.poll()).isEqualTo("lost: no result of the call");
    }

    /** Guards against the same where a call fails before it has a result to wait for. */
    @Test
    void aReadThatFailsAtOnceIsRepeated() throws Exception {
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        HttpCaller closed = HttpCaller.create(1);
        closed.close();

        new LogFollower(
                        closed,
                        timer,
                        new Address("127.0.0.1", 1),
                        LogStream.CONFIGURATION,
                        new RecordingListener(reads),
                        new RecordingAvailabilityListener(statusChanges))
                .start();

        assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("failed");
        assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("failed");
        assertThat(statusChanges.poll()).startsWith("lost: unexpected: ");
    }

    /**
     * Guards against a configuration that is in force late, since the connection on which it is read falls silent: the
     * waits of a reader add up.
     */
    @ParameterizedTest(name = "{0} connections fall silent")
    @ValueSource(ints = {0, 1, 2, 3})
    void aRecordIsReadWithinTheBoundThoughConnectionsFallSilent(int silent) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        AtomicLong lastEmptyNanos = new AtomicLong();
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        try (TestServer log = new TestServer(exchange -> {
            int number = asked.incrementAndGet();
            if (number <= EMPTY_READS) {
                lastEmptyNanos.set(System.nanoTime());
                exchange.getResponseSender().send(page(1, 1));
            } else if (number <= EMPTY_READS + silent) {
                exchange.dispatch(() -> {});
            } else {
                exchange.getResponseSender().send(page(1, 2, 1));
            }
        })) {
            followers(log.address(), reads).start();
            for (int read = 0; read < EMPTY_READS; read++) {
                assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("[] true");
            }
            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("[1] true");
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastEmptyNanos.get()))
                .isLessThan(LogFollower.IN_FORCE_MILLIS);
    }

    /** Guards against a log that counts as lost, so that keyed calls are refused, since one connection to it broke. */
    @Test
    void aConnectionThatBreaksIsNoLossOfTheLog() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        try (TestServer log = new TestServer(exchange -> {
            if (asked.incrementAndGet() == 2) {
                exchange.getConnection().close();
            } else {
                exchange.getResponseSender().send(asked.get() == 1 ? page(1, 1) : page(1, 2, 1));
            }
        })) {
            followers(log.address(), reads).start();
            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("[] true");
            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("[1] true");
        }
        assertThat(statusChanges.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("late: 2");
        assertThat(statusChanges).isEmpty();
    }

    /** Guards against a caller that waits for the gap between two reads: its claim is in the log, and unread. */
    @Test
    void whatThisProcessAppendsIsReadAtOnce() throws Exception {
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        AtomicBoolean appended = new AtomicBoolean();
        try (TestServer log = new TestServer(exchange -> {
            boolean append = exchange.getRequestMethod().toString().equals("POST");
            appended.compareAndSet(false, append);
            String records = appended.get() ? page(1, 2, 1) : page(1, 1);
            exchange.getResponseSender().send(append ? "{\"offset\":1}" : records);
        })) {
            LogFollowers followers = followers(log.address(), reads);
            followers.start();
            for (int read = 0; read < EMPTY_READS; read++) {
                assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("[] true");
            }
            new LogAppender(caller, log.address(), followers).append(LogStream.CLAIMS, BATCH, result -> {});
            assertThat(reads.poll(LONGEST_GAP_MILLIS / 2, TimeUnit.MILLISECONDS))
                    .isEqualTo("[1] true");
        }
    }

    private LogFollowers followers(Address log, BlockingQueue<String> reads) {
        return new LogFollowers(
                caller,
                timer,
                log,
                EnumSet.of(LogStream.CLAIMS),
                new RecordingListener(reads),
                new RecordingAvailabilityListener(statusChanges));
    }

    /** Guards against a page without its content that counts as the end of the log: its reader would be ready. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "{\"first\":1,\"next\":4}", "{\"next\":4,\"records\":[]}", "[]"})
    void aPageThatLacksAPartIsNoPage(String body) throws Exception {
        BlockingQueue<String> reads = new LinkedBlockingQueue<>();
        try (TestServer log =
                new TestServer(exchange -> exchange.getResponseSender().send(body))) {
            new LogFollower(
                            caller,
                            timer,
                            log.address(),
                            LogStream.CONFIGURATION,
                            new RecordingListener(reads),
                            new RecordingAvailabilityListener(statusChanges))
                    .start();

            assertThat(reads.poll(SECONDS, TimeUnit.SECONDS)).isEqualTo("failed");
        }
        assertThat(statusChanges.poll()).startsWith("lost: malformed: ");
    }

    private static void answer(HttpServerExchange exchange, BlockingQueue<String> queries, Queue<String> pages) {
        queries.add(exchange.getQueryString());
        String page = pages.poll();
        if (page == null) {
            exchange.setStatusCode(503);
            page = "";
        }
        exchange.getResponseSender().send(page);
    }

    /**
     * An ambiguous response must not count as appended or refused: the entry would be appended twice or reported as
     * refused although it was appended.
     */
    @ParameterizedTest
    @CsvSource({
        "200, {\"offset\":12}, Appended[offset=12]",
        "200, {}, Unknown[]",
        "429, '', Refused[]",
        "503, '', Refused[]",
        "500, '', Unknown[]",
        "502, '', Unknown[]"
    })
    void ambiguousResponseLeavesTheOutcomeUnknown(int status, String body, String expected) throws Exception {
        try (TestServer log = new TestServer(exchange -> {
            exchange.setStatusCode(status);
            exchange.getResponseSender().send(body);
        })) {
            assertThat(append(log.address())).hasToString(expected);
        }
    }

    @Test
    void appendToAnUnreachableLogIsRefused() throws Exception {
        Address closed;
        try (TestServer log = new TestServer(exchange -> {})) {
            closed = log.address();
        }
        assertThat(append(closed)).isEqualTo(new AppendResult.Refused());
    }

    private AppendResult append(Address log) throws Exception {
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        LogFollowers unread = followers(log, new LinkedBlockingQueue<>());
        new LogAppender(caller, log, unread).append(LogStream.CLAIMS, BATCH, result::complete);
        return result.get(SECONDS, TimeUnit.SECONDS);
    }

    private record RecordingListener(BlockingQueue<String> reads) implements LogFollower.Listener {
        @Override
        public void onRecords(LogStream stream, List<LogRecord> records, boolean caughtUp) {
            reads.add(records.stream().map(LogRecord::offset).toList() + " " + caughtUp);
        }

        @Override
        public void onReadFailed(LogStream stream) {
            reads.add("failed");
        }
    }

    private record RecordingAvailabilityListener(BlockingQueue<String> statusChanges)
            implements LogFollower.AvailabilityListener {
        @Override
        public void onUnavailable(LogStream stream, String reason) {
            statusChanges.add("lost: " + reason);
        }

        @Override
        public void onAvailable(LogStream stream) {
            statusChanges.add("regained");
        }

        @Override
        public void onLateAnswer(LogStream stream, int calls, long afterMillis) {
            statusChanges.add("late: " + calls);
        }
    }
}
