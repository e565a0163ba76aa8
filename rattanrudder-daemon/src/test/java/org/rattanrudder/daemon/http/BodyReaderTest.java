package org.rattanrudder.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.document.ProcessSettings.ProcessLimits;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class BodyReaderTest {
    private static final ProcessLimits LIMITS = new ProcessLimits(1 << 20, 32_768, 10_000, 10);
    private static final int HALF = 100_000;

    private final CountDownLatch reading = new CountDownLatch(1);
    private final CountDownLatch returned = new CountDownLatch(1);
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    private final BodyReader reader = new BodyReader(LIMITS, new ByteBudget(1 << 30), (exchange, refusal) -> {});
    private XnioWorker worker;
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        server = new HttpServer(
                worker,
                new InetSocketAddress("127.0.0.1", 0),
                LIMITS,
                exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    reader.read(exchange, body -> answerLater(exchange, body));
                    reading.countDown();
                }));
    }

    @AfterEach
    void stop() {
        executor.shutdownNow();
        server.close();
        worker.shutdownNow();
    }

    @Test
    void bodyThatArrivesInPartsIsAnsweredOnlyByTheLaterResponse() throws Exception {
        // A long prompt arrives in several packets. The server ends an exchange whose reader returns without a
        // dispatch: the caller would get an empty 200 at once, while a target still runs its prompt.
        try (Socket caller = new Socket("127.0.0.1", server.address().port())) {
            OutputStream output = caller.getOutputStream();
            output.write(
                    ("POST / HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: " + 2 * HALF + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            output.write(new byte[HALF]);
            output.flush();
            assertThat(reading.await(10, TimeUnit.SECONDS)).isTrue();
            output.write(new byte[HALF]);
            output.flush();

            assertThat(answer(caller.getInputStream())).endsWith("received " + 2 * HALF);
        }
    }

    private void answerLater(HttpServerExchange exchange, byte[] body) {
        // Runs after the current task of the I/O thread, when the reader has returned.
        exchange.getIoThread().execute(returned::countDown);
        executor.execute(() -> {
            awaitReturned();
            exchange.getResponseSender().send("received " + body.length);
        });
    }

    private void awaitReturned() {
        try {
            returned.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static String answer(InputStream input) throws IOException {
        return new String(input.readAllBytes(), StandardCharsets.US_ASCII);
    }
}
