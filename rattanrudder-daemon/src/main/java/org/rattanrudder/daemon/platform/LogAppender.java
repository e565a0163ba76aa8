package org.rattanrudder.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.function.Consumer;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;
import org.rattanrudder.wire.http.HttpTimeouts;
import org.rattanrudder.wire.log.LogCodec;

/** Appends batches to the platform's log, each once. */
public final class LogAppender {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, 2_000, 1_000);
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpCaller caller;
    private final Address log;

    /**
     * Makes an appender.
     *
     * @param caller makes the calls
     * @param log where the log listens
     */
    public LogAppender(HttpCaller caller, Address log) {
        this.caller = caller;
        this.log = log;
    }

    /** Appends a batch once and passes on what came of it. */
    public void append(LogStream stream, LogBatch batch, Consumer<AppendResult> settled) {
        HttpRequest request = HttpRequest.of("POST", "/log/" + stream.wireName());
        HttpRequest sent = new HttpRequest(
                request.method(), request.path(), request.headers(), LogCodec.encode(batch), false, TIMEOUTS);
        caller.fetch(log, sent).thenAccept(result -> settled.accept(resultOf(result)));
    }

    private static AppendResult resultOf(HttpResult result) {
        if (result instanceof HttpResult.Failed failed) {
            return failed.nothingSent() ? new AppendResult.Refused() : new AppendResult.Unknown();
        }
        HttpResult.Answered answered = (HttpResult.Answered) result;
        if (answered.isSuccess()) {
            return appended(answered.body());
        }
        // Only these two are promised to have had no effect; any other answer leaves it open.
        boolean refused = answered.status() == TOO_MANY_REQUESTS || answered.status() == UNAVAILABLE;
        return refused ? new AppendResult.Refused() : new AppendResult.Unknown();
    }

    private static AppendResult appended(byte[] body) {
        try {
            JsonNode offset = MAPPER.readTree(body).path("offset");
            return offset.canConvertToLong() ? new AppendResult.Appended(offset.asLong()) : new AppendResult.Unknown();
        } catch (IOException malformed) {
            return new AppendResult.Unknown();
        }
    }
}
