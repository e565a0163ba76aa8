package org.rattanrudder.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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
    private static final LogBatch BATCH = new LogBatch(7, 1, List.of());

    private final HttpCaller caller = HttpCaller.create(1);
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

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
     * A process applies a record twice, misses one for good or stops following, and lags behind the others.
     * The log answers with records that were taken already, loses old ones to retention, or fails in between.
     */
    @Test
    void recordsAreReadOnceAndInOrder() throws Exception {
        Queue<String> pages = new ArrayDeque<>(
                List.of(page(1, 4, 1, 2), page(1, 4, 2, 3), "not JSON", page(20, 23, 20, 21, 22), page(20, 23)));
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        BlockingQueue<String> told = new LinkedBlockingQueue<>();
        try (TestServer log = new TestServer(exchange -> answer(exchange, asked, pages))) {
            new LogFollower(caller, timer, log.address(), LogStream.CONFIGURATION, new Heard(heard), new Told(told))
                    .poll();

            List<String> expected =
                    List.of("[1, 2] false", "[3] true", "failed", "[20, 21, 22] true", "[] true", "failed");
            for (String each : expected) {
                assertThat(heard.poll(SECONDS, TimeUnit.SECONDS))
                        .as(() -> "lost and regained: " + told)
                        .isEqualTo(each);
            }
        }
        assertThat(told).hasSize(3);
        assertThat(told.poll()).startsWith("lost: malformed: ");
        assertThat(told.poll()).isEqualTo("regained");
        assertThat(told.poll()).isEqualTo("lost: status 503");
        assertThat(asked.stream().limit(5))
                .containsExactly(
                        "from=1&wait_millis=0",
                        "from=3&wait_millis=0",
                        "from=4&wait_millis=2000",
                        "from=4&wait_millis=2000",
                        "from=23&wait_millis=2000");
    }

    private static void answer(HttpServerExchange exchange, BlockingQueue<String> asked, Queue<String> pages) {
        asked.add(exchange.getQueryString());
        String page = pages.poll();
        if (page == null) {
            exchange.setStatusCode(503);
            page = "";
        }
        exchange.getResponseSender().send(page);
    }

    /**
     * A log entry is doubled, or refused though it was appended.
     * The log answers with an error, or with nothing. Cause: an unclear answer taken for a clear one.
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
    void onlyAClearAnswerIsTakenAsOne(int status, String body, String expected) throws Exception {
        try (TestServer log = new TestServer(exchange -> {
            exchange.setStatusCode(status);
            exchange.getResponseSender().send(body);
        })) {
            assertThat(append(log.address())).hasToString(expected);
        }
    }

    @Test
    void logThatCannotBeReachedRefuses() throws Exception {
        Address closed;
        try (TestServer log = new TestServer(exchange -> {})) {
            closed = log.address();
        }
        assertThat(append(closed)).isEqualTo(new AppendResult.Refused());
    }

    private AppendResult append(Address log) throws Exception {
        CompletableFuture<AppendResult> settled = new CompletableFuture<>();
        new LogAppender(caller, log).append(LogStream.CLAIMS, BATCH, settled::complete);
        return settled.get(SECONDS, TimeUnit.SECONDS);
    }

    private record Heard(BlockingQueue<String> heard) implements LogFollower.Listener {
        @Override
        public void read(LogStream stream, List<LogRecord> records, boolean caughtUp) {
            heard.add(records.stream().map(LogRecord::offset).toList() + " " + caughtUp);
        }

        @Override
        public void readFailed(LogStream stream) {
            heard.add("failed");
        }
    }

    private record Told(BlockingQueue<String> told) implements LogFollower.Watch {
        @Override
        public void lost(LogStream stream, String reason) {
            told.add("lost: " + reason);
        }

        @Override
        public void regained(LogStream stream) {
            told.add("regained");
        }
    }
}
