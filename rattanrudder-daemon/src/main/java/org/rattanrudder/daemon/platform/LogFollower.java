package org.rattanrudder.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.log.ReadPace;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.topics.ReadTiming;
import org.rattanrudder.daemon.http.JsonBody;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;
import org.rattanrudder.wire.http.HttpTimeouts;
import org.rattanrudder.wire.log.LogCodec;

/**
 * Follows one stream of the platform's log from the oldest record on, so that each record is read within a bound, also
 * if a connection falls silent.
 *
 * <p>The log holds none of its reads open: held reads of all processes would take the places that appends need. The gap
 * between two reads grows while nothing comes, and is short when a record is expected.
 */
public final class LogFollower {
    /** Time from a record's append until it is to be in force here. */
    static final long IN_FORCE_MILLIS = 4_000;

    /** A longer gap saves few calls; the bound would allow one. */
    private static final long WANTED_GAP_MILLIS = 2_000;

    private static final long LONGEST_GAP_MILLIS = ReadTiming.intervalMillis(IN_FORCE_MILLIS, WANTED_GAP_MILLIS);
    private static final long LATE_MILLIS = 1_000;
    private static final long FIRST_RETRY_MILLIS = 250;
    private static final long LAST_RETRY_MILLIS = 2_000;

    /** A page of records that were missed may be long: its head and its pauses are bounded, and it isn't repeated. */
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, 3_000, 2_000);

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
    private final RepeatingReads repeating;
    private final ReadPace pace = new ReadPace(LONGEST_GAP_MILLIS);
    private long nextOffset = 1;
    private boolean caughtUp;
    private boolean failing;
    private boolean reading;
    private boolean readAgain;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private ScheduledFuture<?> nextRead;

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

        /** Called for a read that was answered only after a repeat. */
        default void onLateAnswer(LogStream stream, int calls, long afterMillis) {}

        /** Returns a listener that logs all of it to the event log. */
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

                @Override
                public void onLateAnswer(LogStream stream, int calls, long afterMillis) {
                    events.warn(
                            "log_answer_late",
                            "stream",
                            stream.wireName(),
                            "answered_after_ms",
                            Long.toString(afterMillis),
                            "calls",
                            Integer.toString(calls));
                }
            };
        }
    }

    /**
     * Creates a follower; it reads from {@link #start} on.
     *
     * @param caller the HTTP client
     * @param timer runs the reads after the first
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
        repeating = new RepeatingReads(
                caller,
                timer,
                log,
                LATE_MILLIS,
                (calls, afterMillis) -> availabilityListener.onLateAnswer(stream, calls, afterMillis));
    }

    /** Reads the next page, and then further ones until the timer is closed. */
    public void start() {
        read();
    }

    /** Reads soon: a record is expected, such as one that this process appends. */
    public synchronized void expectRecord() {
        pace.onRecordExpected();
        if (nextRead != null && nextRead.getDelay(TimeUnit.MILLISECONDS) > ReadPace.SHORTEST_GAP_MILLIS) {
            readIn(ReadPace.SHORTEST_GAP_MILLIS);
        }
    }

    /** Reads at once, or again if a read is in flight: its answer may lack what has just been appended. */
    public synchronized void readNow() {
        pace.onRecordExpected();
        if (reading) {
            readAgain = true;
        } else if (nextRead != null) {
            readIn(0);
        }
    }

    private synchronized void readIn(long millis) {
        if (nextRead != null) {
            nextRead.cancel(false);
        }
        nextRead = timer.schedule(this::read, millis, TimeUnit.MILLISECONDS);
    }

    private void read() {
        synchronized (this) {
            if (reading) {
                return;
            }
            reading = true;
            readAgain = false;
            nextRead = null;
        }
        HttpRequest request = HttpRequest.get("/log/" + stream.wireName() + "?from=" + nextOffset + "&wait_millis=0")
                .within(TIMEOUTS);
        CompletableFuture.completedFuture(request)
                .thenCompose(this::call)
                .thenAccept(this::onResult)
                .exceptionally(this::onUnexpected);
    }

    private CompletableFuture<HttpResult> call(HttpRequest request) {
        return caughtUp && !failing ? repeating.read(request) : readOnce(request);
    }

    private CompletableFuture<HttpResult> readOnce(HttpRequest request) {
        return caller.fetch(log, request).completeOnTimeout(NO_RESULT, maxReadMillis, TimeUnit.MILLISECONDS);
    }

    /** Handles what a call or the listener threw: nobody else would hear of it, and nothing more would be read. */
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
        boolean broughtRecords;
        try {
            broughtRecords = onPage(JsonBody.read(answered.body()));
        } catch (IOException | IllegalArgumentException malformed) {
            onFailure("malformed: " + malformed.getMessage());
            return;
        }
        readOn(broughtRecords);
    }

    private synchronized void readOn(boolean broughtRecords) {
        reading = false;
        retryMillis = FIRST_RETRY_MILLIS;
        readIn(readAgain || !caughtUp ? 0 : pace.onReadToEnd(broughtRecords));
    }

    /** Passes a page on; returns whether it brought records. */
    private boolean onPage(JsonNode page) throws IOException {
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
        boolean broughtRecords = read > nextOffset;
        nextOffset = read;
        caughtUp = read >= next;
        return broughtRecords;
    }

    private void onFailure(String reason) {
        boolean first = !failing;
        failing = true;
        synchronized (this) {
            reading = false;
            readIn(retryMillis);
            retryMillis = Math.min(LAST_RETRY_MILLIS, 2 * retryMillis);
        }
        if (first) {
            availabilityListener.onUnavailable(stream, reason);
        }
        listener.onReadFailed(stream);
    }
}
