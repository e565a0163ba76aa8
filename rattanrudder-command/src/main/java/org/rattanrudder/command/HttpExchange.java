package org.rattanrudder.command;

import java.nio.charset.StandardCharsets;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;
import org.rattanrudder.wire.http.HttpTimeouts;

/** Makes the calls over HTTP by Undertow's client. */
final class HttpExchange implements Exchange, AutoCloseable {
    /** An entry answers a publish when the log's order has decided; the log may be slow for a while. */
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(2_000, 30_000, 10_000);

    private HttpCaller caller;

    @Override
    public synchronized Reply exchange(Address entry, Request request) {
        if (caller == null) {
            caller = HttpCaller.create(1);
        }
        HttpRequest plain = request.body().isEmpty()
                ? HttpRequest.of(request.method(), request.path())
                : HttpRequest.json(
                        request.method(), request.path(), request.body().getBytes(StandardCharsets.UTF_8));
        HttpRequest call =
                plain.with("Authorization", "Bearer " + request.credential()).within(TIMEOUTS);
        HttpResult result = caller.fetch(entry, call).join();
        if (result instanceof HttpResult.Failed failed) {
            return new Reply.Failed(failed.nothingSent(), failed.detail());
        }
        HttpResult.Answered answered = (HttpResult.Answered) result;
        return new Reply.Answered(answered.status(), new String(answered.body(), StandardCharsets.UTF_8));
    }

    @Override
    public synchronized void close() {
        if (caller != null) {
            caller.close();
        }
    }
}
