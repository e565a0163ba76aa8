package org.rattanrudder.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;

class RepeatingReadsTest {
    private static final int SECONDS = 10;
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final HttpCaller caller = HttpCaller.create(1);
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);

    @AfterEach
    void close() {
        caller.close();
        timer.shutdownNow();
    }

    /** Guards against calls that nobody waits for, and that take places at a service which answers slowly. */
    @Test
    void aFurtherRepeatGivesUpTheOneBeforeItAndTheAnswerAllOthers() throws Exception {
        try (ServerSocket service = new ServerSocket(0)) {
            Address address = new Address("127.0.0.1", service.getLocalPort());
            RepeatingReads reads = new RepeatingReads(
                    caller, timer, address, TimeUnit.SECONDS.toMillis(SECONDS), (calls, afterMillis) -> {});
            CompletableFuture<HttpResult> result = reads.read(HttpRequest.get("/"));
            try (Socket first = accept(service);
                    Socket second = accept(service);
                    Socket third = accept(service);
                    Socket last = accept(service)) {
                awaitClose(second);
                awaitClose(third);
                last.getOutputStream().write(ANSWER);
                assertThat(result.get(SECONDS, TimeUnit.SECONDS)).isInstanceOf(HttpResult.Answered.class);
                awaitClose(first);
            }
        }
    }

    private static Socket accept(ServerSocket service) throws IOException {
        service.setSoTimeout(SECONDS * 1_000);
        Socket accepted = service.accept();
        accepted.setSoTimeout(SECONDS * 1_000);
        return accepted;
    }

    /** Reads to the end of a connection; fails if it stays open. */
    private static void awaitClose(Socket connection) throws IOException {
        assertThat(connection.getInputStream().readAllBytes()).isNotEmpty();
    }
}
