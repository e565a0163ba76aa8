package org.rattanrudder.standins.load;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.rattanrudder.core.model.Address;

/**
 * Calls an entry, or a stand-in directly, as a caller would, and notes when the first byte of the answer came.
 *
 * <pre>{@code
 * Answer answer = client.send(entry, "GET", "/health/ready", Map.of(), "").join();
 * }</pre>
 */
public final class CallerClient {
    private static final Duration LONGEST = Duration.ofSeconds(60);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** Sends a call; the future always completes with an answer, also when the connection broke. */
    public CompletableFuture<Answer> send(
            Address address, String method, String path, Map<String, String> headers, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(LONGEST)
                .method(method, BodyPublishers.ofString(body));
        headers.forEach(request::header);
        Collector collector = new Collector();
        return http.sendAsync(request.build(), collector::handle).handle((response, failure) -> {
            return collector.answer(failure != null);
        });
    }

    /** Sends a call and waits for its answer. */
    public Answer call(Address address, String method, String path, Map<String, String> headers, String body) {
        return send(address, method, path, headers, body).join();
    }

    /** Gathers one answer as it comes. */
    private static final class Collector {
        private final long sentNanos = System.nanoTime();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private long firstByteNanos;
        private HttpResponse.ResponseInfo head;

        synchronized HttpResponse.BodySubscriber<Void> handle(HttpResponse.ResponseInfo info) {
            head = info;
            return HttpResponse.BodySubscribers.ofByteArrayConsumer(part -> part.ifPresent(this::take));
        }

        private synchronized void take(byte[] part) {
            if (firstByteNanos == 0 && part.length > 0) {
                firstByteNanos = System.nanoTime();
            }
            body.writeBytes(part);
        }

        synchronized Answer answer(boolean broken) {
            long now = System.nanoTime();
            return new Answer(
                    head == null ? 0 : head.statusCode(),
                    head == null ? Map.of() : head.headers().map(),
                    body.toString(StandardCharsets.UTF_8),
                    broken,
                    (firstByteNanos == 0 ? now : firstByteNanos) - sentNanos,
                    now - sentNanos);
        }
    }
}
