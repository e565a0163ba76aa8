package org.rattanrudder.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;
import org.rattanrudder.wire.http.HttpTimeouts;
import org.rattanrudder.wire.log.LogCodec;

/** Reads one stream of the platform's log, one long poll after another, from the oldest record on. */
public final class LogFollower {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int WAIT_MILLIS = 2_000;
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, WAIT_MILLIS + 1_000, 2_000);
    private static final long RETRY_MILLIS = 250;

    private final HttpCaller caller;
    private final ScheduledExecutorService timer;
    private final Address log;
    private final LogStream stream;
    private final Listener listener;
    private final Watch watch;
    private long next = 1;
    private boolean caughtUp;
    private boolean failing;

    /** Takes what was read. */
    public interface Listener {
        /** Records have been read; none if nothing new came for a while. */
        void read(LogStream stream, List<LogRecord> records, boolean caughtUp);

        /** The log couldn't be read; it is tried again. */
        void readFailed(LogStream stream);
    }

    /** Told when reading begins to fail, and when it goes on. */
    public interface Watch {
        /** The log can't be read since now, for this reason. */
        void lost(LogStream stream, String reason);

        /** The log can be read again. */
        void regained(LogStream stream);

        /** Returns a watch that writes both to a log of events. */
        static Watch writing(EventLog events) {
            return new Watch() {
                @Override
                public void lost(LogStream stream, String reason) {
                    events.warn("log_lost", "stream", stream.wireName(), "reason", reason);
                }

                @Override
                public void regained(LogStream stream) {
                    events.info("log_regained", "stream", stream.wireName());
                }
            };
        }
    }

    /**
     * Makes a follower that doesn't read yet.
     *
     * @param caller makes the calls
     * @param timer spaces out tries after a failure
     * @param log where the log listens
     * @param stream the stream to follow
     * @param listener takes the records
     * @param watch told of failures
     */
    public LogFollower(
            HttpCaller caller,
            ScheduledExecutorService timer,
            Address log,
            LogStream stream,
            Listener listener,
            Watch watch) {
        this.caller = caller;
        this.timer = timer;
        this.log = log;
        this.stream = stream;
        this.listener = listener;
        this.watch = watch;
    }

    /** Reads on for as long as the caller and the timer live. */
    public void poll() {
        // Until it has caught up once a reader must not wait: a process whose stream is empty would start late.
        int waitMillis = caughtUp ? WAIT_MILLIS : 0;
        String path = "/log/" + stream.wireName() + "?from=" + next + "&wait_millis=" + waitMillis;
        caller.fetch(log, HttpRequest.get(path).within(TIMEOUTS)).thenAccept(this::take);
    }

    private void take(HttpResult result) {
        if (result instanceof HttpResult.Failed unanswered) {
            failed(unanswered.detail());
            return;
        }
        HttpResult.Answered answered = (HttpResult.Answered) result;
        if (!answered.isSuccess()) {
            failed("status " + answered.status());
            return;
        }
        try {
            takePage(MAPPER.readTree(answered.body()));
        } catch (IOException | IllegalArgumentException malformed) {
            failed("malformed: " + malformed.getMessage());
            return;
        }
        poll();
    }

    private void takePage(JsonNode page) {
        List<LogRecord> records = new ArrayList<>();
        for (JsonNode each : page.path("records")) {
            long offset = each.path("offset").asLong();
            // A record before the one asked for was taken already.
            if (offset >= next) {
                byte[] data = Base64.getDecoder().decode(each.path("data").asText());
                LogCodec.decode(data).ifPresent(batch -> records.add(new LogRecord(offset, batch)));
                next = offset + 1;
            }
        }
        // What retention dropped can't be read any more: go on with the oldest that is kept.
        next = Math.max(next, page.path("first").asLong());
        caughtUp = next >= page.path("next").asLong();
        if (failing) {
            failing = false;
            watch.regained(stream);
        }
        listener.read(stream, records, caughtUp);
    }

    private void failed(String reason) {
        if (!failing) {
            failing = true;
            watch.lost(stream, reason);
        }
        listener.readFailed(stream);
        timer.schedule(this::poll, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
