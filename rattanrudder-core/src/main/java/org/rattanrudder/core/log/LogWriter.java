package org.rattanrudder.core.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Writes one process's entries to one stream of the log: in batches, in order, one append at a time, each with the
 * effect of exactly one append however often its answer is lost.
 *
 * <p>An entry's fate is learnt by reading it back; a writer only says whether it took the entry. A machine hands it
 * what concerns its stream and pumps it at the end of each event:
 *
 * <pre>{@code
 * if (writer.offer(entry, now) != LogWriter.Offer.QUEUED) { refuse(); }
 * writer.pump(now, (stream, batch) -> effects.accept(new CompanionEffect.Append(stream, batch)));
 * }</pre>
 *
 * <p>The reader must report each poll of the log that reached its end, also one without records: a lost batch is looked
 * for in what was read, and appended again only after a read to the end without it.
 */
public final class LogWriter {
    private static final long NEVER = Long.MIN_VALUE;
    private static final int LARGEST_DOUBLING = 20;
    /** How many batches may go at once after a pause: the interval bounds the rate, not the first answer. */
    private static final int BURST = 3;

    private static final int PACE_RECOVERY = 32;
    /** So many refusals in a row are an outage, not a log that is asked too often. */
    private static final int OUTAGE_REFUSALS = 5;

    private final LogStream stream;
    private final long writer;
    private final LogWriterSettings settings;
    private final RandomGenerator random;
    private final Deque<LogEntry> queue = new ArrayDeque<>();

    private Phase phase = Phase.IDLE;
    private List<LogEntry> batch = List.of();
    private long sequence;
    private boolean copyMayBeInLog;
    private boolean readToEndSinceLoss;
    private long sentMicros = NEVER;
    private long paceMicros;
    private long paidUntilMicros = NEVER;
    private long lostMicros;
    private long notBeforeMicros = NEVER;
    private long failingSinceMicros = NEVER;
    private int failures;
    private boolean readsFail;

    /**
     * Creates a writer with nothing to write.
     *
     * @param stream the stream
     * @param writer the incarnation of this process
     * @param settings bounds and waits
     * @param random draws the jitter of the backoff
     */
    public LogWriter(LogStream stream, long writer, LogWriterSettings settings, RandomGenerator random) {
        this.stream = stream;
        this.writer = writer;
        this.settings = settings;
        this.random = random;
        this.paceMicros = settings.intervalMicros();
    }

    /** Asks for an append. */
    @FunctionalInterface
    public interface Appender {
        /** Appends the batch to the stream; answered later by one {@link AppendResult}. */
        void append(LogStream stream, LogBatch batch);
    }

    /** What became of an offered entry. */
    public enum OfferResult {
        /** It will be appended unless it is retracted in time. */
        QUEUED,
        /** Too much waits; it was not taken. */
        FULL,
        /** The log doesn't answer; it was not taken. */
        UNAVAILABLE
    }

    private enum Phase {
        /** Nothing is sent. */
        IDLE,
        /** A batch is sent and not answered. */
        IN_FLIGHT,
        /** A copy of the batch may be in the log or on its way there. */
        IN_DOUBT
    }

    /** Takes an entry that begins new work, unless the log is down or half of the room is taken. */
    public OfferResult offer(LogEntry entry, long nowMicros) {
        if (!isAvailable(nowMicros)) {
            return OfferResult.UNAVAILABLE;
        }
        return enqueue(entry, settings.capacity() / 2);
    }

    /**
     * Takes an entry that tells the end of work already begun, whether or not the log answers.
     *
     * @return never {@link OfferResult#UNAVAILABLE}
     */
    public OfferResult record(LogEntry entry) {
        return enqueue(entry, settings.capacity());
    }

    /**
     * Takes back an entry, the same object, if no copy of it can be in the log or reach it.
     *
     * @return whether it will never be in the log; if false it may be there, now or later
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

    /** Takes the answer to an append. An answer to a batch that was read back meanwhile changes nothing. */
    public void onAppendResult(long answeredSequence, AppendResult result, long nowMicros) {
        if (phase != Phase.IN_FLIGHT || answeredSequence != sequence) {
            return;
        }
        if (result instanceof AppendResult.Appended) {
            finishBatch();
            return;
        }
        if (result instanceof AppendResult.Unknown) {
            copyMayBeInLog = true;
            readToEndSinceLoss = false;
            lostMicros = nowMicros;
        }
        backOff(nowMicros);
        if (copyMayBeInLog) {
            // Failure: the answer is lost after the append took effect, or the append is still on its way. It shows as
            // an entry that takes effect twice, or after a later one. The batch keeps its sequence and no later one is
            // sent until a copy was seen in the log, so readers drop every further copy by (writer, sequence).
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
     * Takes records read from the stream.
     *
     * @param records the records, in order
     * @param caughtUp whether the read reached the log's end
     */
    public void onRecords(List<LogRecord> records, boolean caughtUp) {
        readsFail = false;
        for (LogRecord record : records) {
            LogBatch found = record.batch();
            if (phase != Phase.IDLE && found.writer() == writer && found.sequence() == sequence) {
                finishBatch();
            }
        }
        readToEndSinceLoss |= caughtUp && phase == Phase.IN_DOUBT;
    }

    /** Notes that the stream couldn't be read: nothing could be read back now. */
    public void onReadFailed() {
        readsFail = true;
    }

    /** Sends what is due. */
    public void sendDue(long nowMicros, Appender appender) {
        if (phase == Phase.IN_FLIGHT || nowMicros < notBeforeMicros) {
            return;
        }
        if (phase == Phase.IN_DOUBT) {
            if (readToEndSinceLoss && nowMicros - lostMicros >= settings.readBackMicros()) {
                send(nowMicros, appender);
            }
            return;
        }
        boolean inPace = paidUntilMicros == NEVER || paidUntilMicros - nowMicros <= (BURST - 1) * paceMicros;
        boolean full = queue.size() >= settings.batchEntries() && paceMicros == settings.intervalMicros();
        if (queue.isEmpty() || !(inPace || full)) {
            return;
        }
        batch = takeBatch();
        sequence++;
        send(nowMicros, appender);
    }

    /** Returns whether new work may count on the log: it answers, or may be tried again. */
    public boolean isAvailable(long nowMicros) {
        if (readsFail) {
            return false;
        }
        long patience = settings.patienceMicros();
        if (phase == Phase.IN_FLIGHT && nowMicros - sentMicros >= patience) {
            return false;
        }
        if (failingSinceMicros == NEVER || nowMicros - failingSinceMicros < patience) {
            return true;
        }
        // Appends have failed for a while. One entry may try the log again once the backoff is over, so that an outage
        // ends with the first success and not with a restart.
        return phase == Phase.IDLE && queue.isEmpty() && nowMicros >= notBeforeMicros;
    }

    /** Returns in how many milliseconds a refused caller should come back, before any jitter. */
    public long retryAfterMillis(long nowMicros) {
        long wait = Math.max(settings.patienceMicros(), notBeforeMicros == NEVER ? 0 : notBeforeMicros - nowMicros);
        return (wait + 999) / 1000;
    }

    /** Returns how many entries wait or are not yet known to be in the log. */
    public int pendingEntries() {
        return queue.size() + batch.size();
    }

    private OfferResult enqueue(LogEntry entry, int room) {
        if (pendingEntries() >= room) {
            return OfferResult.FULL;
        }
        queue.addLast(entry);
        return OfferResult.QUEUED;
    }

    private List<LogEntry> takeBatch() {
        List<LogEntry> taken = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && taken.size() < settings.batchEntries()) {
            bytes += EntrySize.of(queue.peekFirst());
            if (!taken.isEmpty() && bytes > settings.batchBytes()) {
                break;
            }
            taken.add(queue.pollFirst());
        }
        return taken;
    }

    private void send(long nowMicros, Appender appender) {
        phase = Phase.IN_FLIGHT;
        sentMicros = nowMicros;
        paidUntilMicros = Math.max(paidUntilMicros, nowMicros) + paceMicros;
        appender.append(stream, new LogBatch(writer, sequence, batch));
    }

    private void finishBatch() {
        phase = Phase.IDLE;
        batch = List.of();
        copyMayBeInLog = false;
        long faster = failures >= OUTAGE_REFUSALS ? 0 : paceMicros - paceMicros / PACE_RECOVERY;
        paceMicros = Math.max(settings.intervalMicros(), faster);
        failures = 0;
        failingSinceMicros = NEVER;
        notBeforeMicros = NEVER;
    }

    private void backOff(long nowMicros) {
        if (failingSinceMicros == NEVER) {
            failingSinceMicros = nowMicros;
        }
        long doubled = settings.firstBackoffMicros() << Math.min(failures, LARGEST_DOUBLING);
        long wait = Math.min(doubled, settings.longestBackoffMicros());
        failures++;
        // Failure: more writers than the log has appends for, each at its interval, are refused most of the time, and
        // claims wait for seconds in backoff. It shows as refusals that rise with the writers. Each refusal
        // lowers this writer's rate by a third and each success raises it a little, so that the writers share what the
        // log takes. The pace stays under the patience, or claims would be given up before they are sent.
        long slower = Math.max(paceMicros + paceMicros / 2, settings.firstBackoffMicros());
        paceMicros = Math.max(paceMicros, Math.min(slower, settings.patienceMicros() / 2));
        // Failure: many writers, refused together at the end of an outage, come back together and are refused again.
        // Each draws its wait anew between half and the whole, so they spread.
        notBeforeMicros = nowMicros + wait / 2 + random.nextLong(wait / 2 + 1);
    }
}
