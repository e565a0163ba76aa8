package org.rattanrudder.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.function.Consumer;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.http.JsonBody;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;
import org.rattanrudder.wire.http.HttpTimeouts;
import org.rattanrudder.wire.log.LogCodec;

/** Appends batches to the platform's log, without retries, and has their stream read at once. */
public final class LogAppender {
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, 2_000, 1_000);
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpCaller caller;
    private final Address log;
    private final LogFollowers followers;

    /**
     * Creates an appender.
     *
     * @param caller the HTTP client
     * @param log the address of the log service
     * @param followers read the streams that are appended to
     */
    public LogAppender(HttpCaller caller, Address log, LogFollowers followers) {
        this.caller = caller;
        this.log = log;
        this.followers = followers;
    }

    /** Sends a batch once and passes the result to the listener. */
    public void append(LogStream stream, LogBatch batch, Consumer<AppendResult> listener) {
        HttpRequest request = HttpRequest.of("POST", "/log/" + stream.wireName());
        HttpRequest withBody = new HttpRequest(
                request.method(), request.path(), request.headers(), LogCodec.encode(batch), false, TIMEOUTS);
        followers.onAppending(stream);
        caller.fetch(log, withBody).thenAccept(result -> onResult(stream, resultOf(result), listener));
    }

    private void onResult(LogStream stream, AppendResult result, Consumer<AppendResult> listener) {
        listener.accept(result);
        if (!(result instanceof AppendResult.Refused)) {
            followers.onAppended(stream);
        }
    }

    private static AppendResult resultOf(HttpResult result) {
        if (result instanceof HttpResult.Failed failed) {
            return failed.nothingSent() ? new AppendResult.Refused() : new AppendResult.Unknown();
        }
        HttpResult.Answered answered = (HttpResult.Answered) result;
        if (answered.isSuccess()) {
            return parseAppended(answered.body());
        }
        // Only these two statuses guarantee that nothing was appended; after any other the outcome is unknown.
        boolean refused = answered.status() == TOO_MANY_REQUESTS || answered.status() == UNAVAILABLE;
        return refused ? new AppendResult.Refused() : new AppendResult.Unknown();
    }

    private static AppendResult parseAppended(byte[] body) {
        try {
            JsonNode offset = JsonBody.read(body).path("offset");
            return offset.canConvertToLong() ? new AppendResult.Appended(offset.asLong()) : new AppendResult.Unknown();
        } catch (IOException malformed) {
            return new AppendResult.Unknown();
        }
    }
}
