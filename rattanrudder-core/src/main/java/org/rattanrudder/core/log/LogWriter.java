package org.rattanrudder.core.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Appends one process's entries to one stream of the log: in batches, in order, with one append in flight, and with
 * exactly-once effect even if responses are lost.
 *
 * <p>The writer only reports whether it accepted an entry; only reading the stream shows whether the entry is in the
 * log. A state machine passes the events of its stream to the writer and calls {@link #sendDue} at the end of each
 * event:
 *
 * <pre>{@code
 * if (writer.offer(entry, now) != LogWriter.Offer.QUEUED) { refuse(); }
 * writer.pump(now, (stream, batch) -> effects.accept(new CompanionEffect.Append(stream, batch)));
 * }</pre>
 *
 * <p>The reader must report each poll that reached the end of the log, including polls without records: a batch whose
 * append has an unknown result is retried only after a read to the end that didn't contain it.
 */
public final class LogWriter {
    private static final long NEVER = Long.MIN_VALUE;
    private static final int MAX_BACKOFF_DOUBLINGS = 20;
    /**
     * The number of batches that may be sent without spacing after a pause, so that the send interval limits the rate
     * without delaying the first batch.
     */
    private static final int MAX_BURST_BATCHES = 3;

    private static final int INTERVAL_RECOVERY_DIVISOR = 32;
    /** The number of consecutive failures that is taken for an outage of the log rather than for rate limiting. */
    private static final int MIN_OUTAGE_FAILURES = 5;

    private final LogStream stream;
    private final long writer;
    private final LogWriterSettings settings;
    private final RandomGenerator random;
    private final Deque<LogEntry> queue = new ArrayDeque<>();

    private Phase phase = Phase.IDLE;
    private List<LogEntry> batch = List.of();
    private long sequence;
    private boolean copyMayBeInLog;
    private boolean readToEndSinceInDoubt;
    private long sentMicros = NEVER;
    private long sendIntervalMicros;
    private long rateUsedUntilMicros = NEVER;
    private long inDoubtSinceMicros;
    private long backoffUntilMicros = NEVER;
    private long failingSinceMicros = NEVER;
    private int consecutiveFailures;
    private boolean readFailing;

    /**
     * Creates a writer with an empty queue.
     *
     * @param stream the stream
     * @param writer the incarnation of this process
     * @param settings limits and timeouts
     * @param random draws the jitter of the backoff
     */
    public LogWriter(LogStream stream, long writer, LogWriterSettings settings, RandomGenerator random) {
        this.stream = stream;
        this.writer = writer;
        this.settings = settings;
        this.random = random;
        this.sendIntervalMicros = settings.minSendIntervalMicros();
    }

    /** Sends appends to the log. */
    @FunctionalInterface
    public interface Appender {
        /** Appends the batch to the stream; one {@link AppendResult} follows later. */
        void append(LogStream stream, LogBatch batch);
    }

    /** Whether an entry was accepted. */
    public enum OfferResult {
        /** The entry is queued and will be appended unless it is retracted in time. */
        QUEUED,
        /** The queue is full; the entry was not accepted. */
        FULL,
        /** The log is unavailable; the entry was not accepted. */
        UNAVAILABLE
    }

    private enum Phase {
        /** No batch is being appended. */
        IDLE,
        /** A batch was sent and has no result yet. */
        IN_FLIGHT,
        /** The result is unknown: a copy of the batch may be in the log or may still arrive there. */
        IN_DOUBT
    }

    /** Queues an entry that starts new work, unless the log is unavailable or the queue is half full. */
    public OfferResult offer(LogEntry entry, long nowMicros) {
        if (!isAvailable(nowMicros)) {
            return OfferResult.UNAVAILABLE;
        }
        return enqueue(entry, settings.maxPendingEntries() / 2);
    }

    /**
     * Queues an entry that records the end of work already started, whether or not the log is available.
     *
     * @return never {@link OfferResult#UNAVAILABLE}
     */
    public OfferResult record(LogEntry entry) {
        return enqueue(entry, settings.maxPendingEntries());
    }

    /**
     * Removes an entry (compared by identity) if no copy of it can be in the log or still arrive there.
     *
     * @return true if the entry will never be in the log; false if it may be there, now or later
     */
    public boolean retract(LogEntry entry) {
        for (Iterator<LogEntry> waiting = queue.iterator(); waiting.hasNext(); ) {
            if (waiting.next() == entry) {
                waiting.remove();
                return true;
            }
        }
        return false;
    }

    /** Handles the result of an append. It is ignored if the batch has been read back in the meantime. */
    public void onAppendResult(long answeredSequence, AppendResult result, long nowMicros) {
        if (phase != Phase.IN_FLIGHT || answeredSequence != sequence) {
            return;
        }
        if (result instanceof AppendResult.Appended) {
            onBatchInLog();
            return;
        }
        if (result instanceof AppendResult.Unknown) {
            copyMayBeInLog = true;
            readToEndSinceInDoubt = false;
            inDoubtSinceMicros = nowMicros;
        }
        backOff(nowMicros);
        if (copyMayBeInLog) {
            // Failure: the response is lost after the append took effect, or the append is still in flight. A retry as
            // a new batch would make an entry take effect twice or after a later one. The batch therefore keeps its
            // sequence, and no later one is sent until a copy was read in the log, so readers drop every further copy
            // by (writer, sequence).
            phase = Phase.IN_DOUBT;
            return;
        }
        for (int last = batch.size() - 1; last >= 0; last--) {
            queue.addFirst(batch.get(last));
        }
        batch = List.of();
        sequence--;
        phase = Phase.IDLE;
    }

    /**
     * Handles records read from the stream.
     *
     * @param records the records, in order
     * @param caughtUp whether the read reached the log's end
     */
    public void onRecords(List<LogRecord> records, boolean caughtUp) {
        readFailing = false;
        for (LogRecord record : records) {
            LogBatch found = record.batch();
            if (phase != Phase.IDLE && found.writer() == writer && found.sequence() == sequence) {
                onBatchInLog();
            }
        }
        readToEndSinceInDoubt |= caughtUp && phase == Phase.IN_DOUBT;
    }

    /** Records that the stream couldn't be read, so that batches can't be read back. */
    public void onReadFailed() {
        readFailing = true;
    }

    /** Sends the next batch, or retries the current one, if that is due. */
    public void sendDue(long nowMicros, Appender appender) {
        if (phase == Phase.IN_FLIGHT || nowMicros < backoffUntilMicros) {
            return;
        }
        if (phase == Phase.IN_DOUBT) {
            if (readToEndSinceInDoubt && nowMicros - inDoubtSinceMicros >= settings.readBackTimeoutMicros()) {
                send(nowMicros, appender);
            }
            return;
        }
        boolean withinRate = rateUsedUntilMicros == NEVER
                || rateUsedUntilMicros - nowMicros <= (MAX_BURST_BATCHES - 1) * sendIntervalMicros;
        boolean full =
                queue.size() >= settings.maxBatchEntries() && sendIntervalMicros == settings.minSendIntervalMicros();
        if (queue.isEmpty() || !(withinRate || full)) {
            return;
        }
        batch = takeBatch();
        sequence++;
        send(nowMicros, appender);
    }

    /** Returns whether new work may be accepted: the log responds, or may be tried again. */
    public boolean isAvailable(long nowMicros) {
        if (readFailing) {
            return false;
        }
        long timeout = settings.unavailableTimeoutMicros();
        if (phase == Phase.IN_FLIGHT && nowMicros - sentMicros >= timeout) {
            return false;
        }
        if (failingSinceMicros == NEVER || nowMicros - failingSinceMicros < timeout) {
            return true;
        }
        // Appends have been failing for longer than the timeout. Once the backoff has passed, a single entry may probe
        // the log, so that the writer recovers from an outage on the first success without a restart.
        return phase == Phase.IDLE && queue.isEmpty() && nowMicros >= backoffUntilMicros;
    }

    /** Returns after how many milliseconds a refused caller should retry, before jitter. */
    public long retryAfterMillis(long nowMicros) {
        long wait = Math.max(
                settings.unavailableTimeoutMicros(), backoffUntilMicros == NEVER ? 0 : backoffUntilMicros - nowMicros);
        return (wait + 999) / 1000;
    }

    /** Returns the number of entries that are queued or not yet known to be in the log. */
    public int pendingEntries() {
        return queue.size() + batch.size();
    }

    private OfferResult enqueue(LogEntry entry, int maxEntries) {
        if (pendingEntries() >= maxEntries) {
            return OfferResult.FULL;
        }
        queue.addLast(entry);
        return OfferResult.QUEUED;
    }

    private List<LogEntry> takeBatch() {
        List<LogEntry> taken = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && taken.size() < settings.maxBatchEntries()) {
            bytes += EntrySize.of(queue.peekFirst());
            if (!taken.isEmpty() && bytes > settings.maxBatchBytes()) {
                break;
            }
            taken.add(queue.pollFirst());
        }
        return taken;
    }

    private void send(long nowMicros, Appender appender) {
        phase = Phase.IN_FLIGHT;
        sentMicros = nowMicros;
        rateUsedUntilMicros = Math.max(rateUsedUntilMicros, nowMicros) + sendIntervalMicros;
        appender.append(stream, new LogBatch(writer, sequence, batch));
    }

    private void onBatchInLog() {
        phase = Phase.IDLE;
        batch = List.of();
        copyMayBeInLog = false;
        long decreased = consecutiveFailures >= MIN_OUTAGE_FAILURES
                ? 0
                : sendIntervalMicros - sendIntervalMicros / INTERVAL_RECOVERY_DIVISOR;
        sendIntervalMicros = Math.max(settings.minSendIntervalMicros(), decreased);
        consecutiveFailures = 0;
        failingSinceMicros = NEVER;
        backoffUntilMicros = NEVER;
    }

    private void backOff(long nowMicros) {
        if (failingSinceMicros == NEVER) {
            failingSinceMicros = nowMicros;
        }
        long doubled = settings.initialBackoffMicros() << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
        long wait = Math.min(doubled, settings.maxBackoffMicros());
        consecutiveFailures++;
        // Failure: with more writers than the log's rate limit allows for, each sending at its minimum interval, most
        // appends are refused and claims wait for seconds in backoff; refusals rise with the number of writers. Each
        // refusal increases this writer's send interval by half and each success decreases it a little, so that the
        // writers share the log's capacity. The interval stays below the timeout, or claims would time out before they
        // are sent.
        long increased = Math.max(sendIntervalMicros + sendIntervalMicros / 2, settings.initialBackoffMicros());
        sendIntervalMicros = Math.max(sendIntervalMicros, Math.min(increased, settings.unavailableTimeoutMicros() / 2));
        // Failure: many writers that were refused at the same time, at the end of an outage, retry at the same time and
        // are refused again. Each draws a random wait between half and the whole backoff, which spreads the retries.
        backoffUntilMicros = nowMicros + wait / 2 + random.nextLong(wait / 2 + 1);
    }
}
