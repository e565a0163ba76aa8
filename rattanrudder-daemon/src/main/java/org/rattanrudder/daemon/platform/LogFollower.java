package org.rattanrudder.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.http.JsonBody;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;
import org.rattanrudder.wire.http.HttpTimeouts;
import org.rattanrudder.wire.log.LogCodec;

/** Follows one stream of the platform's log by long polling, from the oldest record on. */
public final class LogFollower {
    private static final int LONG_POLL_MILLIS = 2_000;
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, LONG_POLL_MILLIS + 1_000, 2_000);
    private static final long RETRY_DELAY_MILLIS = 250;

    /** Beyond all timeouts of a call: a read that brings no result at all must not be the last one. */
    private static final long MAX_READ_MILLIS = 15_000;

    private static final HttpResult NO_RESULT = new HttpResult.Failed(false, "no result of the call");

    private final HttpCaller caller;
    private final ScheduledExecutorService timer;
    private final Address log;
    private final LogStream stream;
    private final Listener listener;
    private final AvailabilityListener availabilityListener;
    private final long maxReadMillis;
    private long nextOffset = 1;
    private boolean caughtUp;
    private boolean failing;

    /** Receives the records that were read. */
    public interface Listener {
        /** Called for each page; the list is empty if there were no new records for a while. */
        void onRecords(LogStream stream, List<LogRecord> records, boolean caughtUp);

        /** Called after a failed read, which is retried. */
        void onReadFailed(LogStream stream);
    }

    /** Notified when reading starts to fail and when it works again. */
    public interface AvailabilityListener {
        /** Called for the first of a series of failed reads. */
        void onUnavailable(LogStream stream, String reason);

        /** Called for the first successful read after a failure. */
        void onAvailable(LogStream stream);

        /** Returns a listener that logs both to the event log. */
        static AvailabilityListener loggingTo(EventLog events) {
            return new AvailabilityListener() {
                @Override
                public void onUnavailable(LogStream stream, String reason) {
                    events.warn("log_lost", "stream", stream.wireName(), "reason", reason);
                }

                @Override
                public void onAvailable(LogStream stream) {
                    events.info("log_regained", "stream", stream.wireName());
                }
            };
        }
    }

    /**
     * Creates a follower; it reads from the first call of {@link #poll} on.
     *
     * @param caller the HTTP client
     * @param timer delays retries after a failure
     * @param log the address of the log service
     * @param stream the stream to follow
     * @param listener receives the records
     * @param availabilityListener notified of failures
     */
    public LogFollower(
            HttpCaller caller,
            ScheduledExecutorService timer,
            Address log,
            LogStream stream,
            Listener listener,
            AvailabilityListener availabilityListener) {
        this(caller, timer, log, stream, listener, availabilityListener, MAX_READ_MILLIS);
    }

    LogFollower(
            HttpCaller caller,
            ScheduledExecutorService timer,
            Address log,
            LogStream stream,
            Listener listener,
            AvailabilityListener availabilityListener,
            long maxReadMillis) {
        this.caller = caller;
        this.timer = timer;
        this.log = log;
        this.stream = stream;
        this.listener = listener;
        this.availabilityListener = availabilityListener;
        this.maxReadMillis = maxReadMillis;
    }

    /** Reads the next page, and then further ones until the caller or the timer is closed. */
    public void poll() {
        // No long poll before the first catch-up: it would delay the start of a process whose stream is empty.
        int waitMillis = caughtUp ? LONG_POLL_MILLIS : 0;
        String path = "/log/" + stream.wireName() + "?from=" + nextOffset + "&wait_millis=" + waitMillis;
        caller.fetch(log, HttpRequest.get(path).within(TIMEOUTS))
                .completeOnTimeout(NO_RESULT, maxReadMillis, TimeUnit.MILLISECONDS)
                .thenAccept(this::onResult)
                .exceptionally(this::onUnexpected);
    }

    /** Handles what the listener threw; nobody else would hear of it, and the stream would be followed no more. */
    private Void onUnexpected(Throwable failure) {
        onFailure("unexpected: " + failure.getCause());
        return null;
    }

    private void onResult(HttpResult result) {
        if (result instanceof HttpResult.Failed unanswered) {
            onFailure(unanswered.detail());
            return;
        }
        HttpResult.Answered answered = (HttpResult.Answered) result;
        if (!answered.isSuccess()) {
            onFailure("status " + answered.status());
            return;
        }
        try {
            onPage(JsonBody.read(answered.body()));
        } catch (IOException | IllegalArgumentException malformed) {
            onFailure("malformed: " + malformed.getMessage());
            return;
        }
        poll();
    }

    private void onPage(JsonNode page) throws IOException {
        long first = JsonBody.whole(page, "first");
        long next = JsonBody.whole(page, "next");
        List<LogRecord> records = new ArrayList<>();
        long read = nextOffset;
        for (JsonNode each : JsonBody.list(page, "records")) {
            long offset = each.path("offset").asLong();
            // Records before the requested offset were passed on already.
            if (offset >= read) {
                byte[] data = Base64.getDecoder().decode(each.path("data").asText());
                LogCodec.decode(data).ifPresent(batch -> records.add(new LogRecord(offset, batch)));
                read = offset + 1;
            }
        }
        // Records that retention dropped can't be read any more; continue with the oldest that is kept.
        read = Math.max(read, first);
        if (failing) {
            failing = false;
            availabilityListener.onAvailable(stream);
        }
        listener.onRecords(stream, records, read >= next);
        nextOffset = read;
        caughtUp = read >= next;
    }

    private void onFailure(String reason) {
        timer.schedule(this::poll, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        if (!failing) {
            failing = true;
            availabilityListener.onUnavailable(stream, reason);
        }
        listener.onReadFailed(stream);
    }
}
