package org.rattanrudder.core.claims;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.BatchDeduplicator;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.time.EventTime;

/**
 * Ensures that each call with an idempotency key runs at most once across all companions: a companion appends a claim
 * of the key to the log and runs the call only after it has read the claim back as the first valid one.
 *
 * <p>The companion asks for admission of each attempt, passes on the events of the claims stream and records the
 * outcome of each run:
 *
 * <pre>{@code
 * KeyDecision decision = claims.admit(attempt, KeyedCall.of(service, customer, key, call), now, deadline);
 * claims.onRecords(records, caughtUp, now, (held, laterDecision) -> decidePending(held, laterDecision));
 * claims.recordAnswer(attempt, status, headers, body);
 * claims.sendDue(now, appender);
 * }</pre>
 *
 * <p>The stream must be read from the oldest record that the log retains.
 */
public final class KeyClaims {
    private final long incarnation;
    private final InstanceName instance;
    private final ClaimSettings settings;
    private final LogWriter writer;
    private final KeyRefusals refusals;
    private final KeyLedger ledger;
    private final BatchDeduplicator deduplicator;
    private final KeyExpiry expiry;
    private final PendingKeys pendingKeys = new PendingKeys();
    private boolean caughtUp;
    private boolean startRecorded;
    private long lastOffset;

    /**
     * Creates an instance without any keys. It admits no attempt until the stream was read to its end.
     *
     * @param incarnation the incarnation of this process, written as the claimant; must equal the writer's
     * @param instance the name of this process, which stays the same after a restart
     * @param settings limits and timeouts
     * @param writer appends to the claims stream
     * @param random draws the jitter of retry-after times
     */
    public KeyClaims(
            long incarnation, InstanceName instance, ClaimSettings settings, LogWriter writer, RandomGenerator random) {
        this.incarnation = incarnation;
        this.instance = instance;
        this.settings = settings;
        this.writer = writer;
        this.refusals = new KeyRefusals(settings.claimTimeoutMicros(), random);
        this.ledger = new KeyLedger(settings.maxStoredBodyBytes());
        this.deduplicator = new BatchDeduplicator(settings.logRetentionMicros());
        this.expiry = new KeyExpiry(ledger, random);
    }

    /** Sets how long the keys of a service are retained, as its document says. */
    public void setKeyRetention(ServiceName service, long keyRetentionMicros) {
        expiry.setRetention(service, keyRetentionMicros);
    }

    /**
     * Decides whether an attempt may run. For a held attempt, exactly one decision follows through a listener, unless
     * the attempt is cancelled first.
     *
     * @param attempt the attempt; each attempt is passed only once
     * @param call the call that it would run
     * @param now the time
     * @param deadlineMicros how long its answer is wanted, in microseconds from now on
     */
    public KeyDecision admit(AttemptId attempt, KeyedCall call, EventTime now, long deadlineMicros) {
        PendingKey pending = pendingKeys.find(call.key());
        if (pending != null && pending.phase == PendingKey.Phase.RUNNING) {
            return refusals.inProgressOrReused(pending.call, call);
        }
        Optional<KeyState> state = ledger.state(call.key());
        if (state.isPresent() && !(pending != null && pending.outcome instanceof LogEntry.KeyRelease)) {
            return decideRepeat(call, state.get(), now.atLeastMicros());
        }
        if (pending != null && pending.phase == PendingKey.Phase.CLAIMING) {
            return joinPendingClaim(pending, attempt, call, now, deadlineMicros);
        }
        return claim(attempt, call, now, deadlineMicros);
    }

    /** Cancels an attempt that hasn't run. No decision on it follows. */
    public void cancel(AttemptId attempt) {
        PendingKey key = pendingKeys.find(attempt);
        if (key != null && key.phase == PendingKey.Phase.CLAIMING) {
            abandon(key);
        }
    }

    /** Records the answer of an attempt that ran. */
    public void recordAnswer(AttemptId attempt, int status, List<Header> headers, byte[] body) {
        RecordedAnswer answer = RecordedAnswer.of(status, headers, body, settings.maxRecordedBodyBytes());
        recordOutcome(attempt, answer::toEntry);
    }

    /** Records that an admitted attempt has not reached its target and never will. */
    public void recordNotRun(AttemptId attempt) {
        recordOutcome(attempt, LogEntry.KeyRelease::new);
    }

    /** Records that an attempt may have run and that its answer will never be known. */
    public void recordUnresolved(AttemptId attempt) {
        recordOutcome(attempt, LogEntry.KeyUnresolved::new);
    }

    /** Applies records read from the claims stream, and decides on the attempts whose claims are among them. */
    public void onRecords(List<LogRecord> records, boolean reachedEnd, EventTime now, KeyDecision.Listener listener) {
        // Failure: this process is paused for longer than a key's retention and another companion runs the call
        // meanwhile. On resuming, this process reads back its old claim as the valid one and runs the call a second
        // time. Attempts that waited too long are therefore dropped before the records are applied; the claim timeout
        // is far shorter than any retention.
        expireTimedOutAttempts(now, listener);
        writer.onRecords(records, reachedEnd);
        for (LogRecord record : records) {
            trackOffset(record.offset());
            if (!deduplicator.admit(record, now.atLeastMicros())) {
                continue;
            }
            for (LogEntry entry : record.batch().entries()) {
                boolean accepted = ledger.apply(record.offset(), record.batch().writer(), entry, now.atLeastMicros());
                if (record.batch().writer() == incarnation) {
                    onOwnEntry(entry, accepted, now, listener);
                }
            }
        }
        if (reachedEnd && !caughtUp) {
            caughtUp = true;
            recordStarted();
        }
    }

    /** Records that the stream couldn't be read. */
    public void onReadFailed() {
        writer.onReadFailed();
    }

    /** Handles the result of an append. */
    public void onAppendResult(long sequence, AppendResult result, long nowMicros) {
        writer.onAppendResult(sequence, result, nowMicros);
    }

    /** Times out attempts that waited too long for their claims, and records expired keys; call it at each tick. */
    public void tick(EventTime now, KeyDecision.Listener listener) {
        expireTimedOutAttempts(now, listener);
        // Failure: this process is paused for longer than the log retains records, and its own entries are dropped
        // before it reads them: their keys would be refused for ever. If such a claim is read after all, it is
        // released.
        pendingKeys.removeClaimedBefore(now.atMostMicros() - settings.logRetentionMicros());
        if (caughtUp) {
            expiry.entriesDue(now.atLeastMicros()).forEach(writer::record);
        }
    }

    /** Appends the batch that is due; call it at the end of each event. */
    public void sendDue(long nowMicros, LogWriter.Appender appender) {
        writer.sendDue(nowMicros, appender);
    }

    /** Returns whether new keys may be claimed: the log is available and its claims have been read to the end. */
    public boolean isLogAvailable(long nowMicros) {
        return caughtUp && writer.isAvailable(nowMicros);
    }

    /** Returns whether an attempt was admitted and its outcome hasn't been recorded. */
    public boolean isRunning(AttemptId attempt) {
        PendingKey key = pendingKeys.find(attempt);
        return key != null && key.phase == PendingKey.Phase.RUNNING;
    }

    /** Returns whether no claim is open and the outcome of every run has been read back from the log. */
    public boolean isDrained() {
        return pendingKeys.size() == 0;
    }

    /** Returns the state of all keys according to the log. */
    public KeyLedger ledger() {
        return ledger;
    }

    private KeyDecision decideRepeat(KeyedCall call, KeyState state, long nowMicros) {
        if (!state.request().equals(call.request())) {
            return KeyRefusals.reused();
        }
        if (state instanceof KeyState.Answered answered) {
            return new KeyDecision.Replay(answered.answer());
        }
        PendingKey pending = pendingKeys.find(call.key());
        if (pending != null && pending.outcome instanceof LogEntry.KeyOutcome outcome) {
            return new KeyDecision.Replay(RecordedAnswer.of(outcome));
        }
        if (state instanceof KeyState.Claimed claimed && claimed.claimant() != incarnation) {
            boolean recent = nowMicros - claimed.sinceMicros() < settings.presumedRunningMicros();
            return recent ? refusals.inProgress() : KeyRefusals.outcomeUnknown();
        }
        return KeyRefusals.outcomeUnknown();
    }

    private KeyDecision joinPendingClaim(
            PendingKey claiming, AttemptId attempt, KeyedCall call, EventTime now, long deadlineMicros) {
        if (claiming.attempt != null) {
            return refusals.inProgressOrReused(claiming.call, call);
        }
        if (!claiming.call.equals(call)) {
            return logUnavailable(now, "an earlier claim of the key is not settled");
        }
        // The attempt for which this claim was written was answered "not run" and never runs. The caller's retry may
        // use the claim instead, whether it is already in the log or still in flight.
        if (!writer.isAvailable(now.atLeastMicros())) {
            return logUnavailable(now, "the log doesn't answer");
        }
        hold(claiming, attempt, now, deadlineMicros);
        return new KeyDecision.Hold();
    }

    private KeyDecision claim(AttemptId attempt, KeyedCall call, EventTime now, long deadlineMicros) {
        if (!caughtUp) {
            return logUnavailable(now, "the claims are still being read");
        }
        if (pendingKeys.size() >= settings.maxPendingKeys()) {
            return refusals.overloaded();
        }
        PendingKey key = new PendingKey(call, incarnation, lastOffset, now.atMostMicros());
        LogWriter.OfferResult offer = writer.offer(key.claim, now.atLeastMicros());
        if (offer == LogWriter.OfferResult.UNAVAILABLE) {
            return logUnavailable(now, "the log doesn't answer");
        }
        if (offer == LogWriter.OfferResult.FULL) {
            return refusals.overloaded();
        }
        pendingKeys.add(key);
        hold(key, attempt, now, deadlineMicros);
        return new KeyDecision.Hold();
    }

    private void hold(PendingKey key, AttemptId attempt, EventTime now, long deadlineMicros) {
        long timeoutMicros = Math.min(deadlineMicros, settings.claimTimeoutMicros());
        pendingKeys.attach(key, attempt, now.atMostMicros() + timeoutMicros);
    }

    private void recordStarted() {
        if (!startRecorded) {
            startRecorded = true;
            writer.record(new LogEntry.ClaimantStarted(instance));
        }
    }

    private void trackOffset(long offset) {
        if ((caughtUp || lastOffset > 0) && offset > lastOffset + 1) {
            // Records were dropped before they were read. The missing ones are older than any key retention, but copies
            // of this process's own claims may be between the gap and the end: claim nothing until all of it is read.
            caughtUp = false;
        }
        lastOffset = offset;
        expiry.onRead(offset);
    }

    private void onOwnEntry(LogEntry entry, boolean accepted, EventTime now, KeyDecision.Listener listener) {
        if (entry instanceof LogEntry.KeyClaim claim) {
            PendingKey key = pendingKeys.find(claim.key());
            if (key == null && accepted) {
                writer.record(new LogEntry.KeyRelease(claim.key()));
            } else if (key != null && key.phase == PendingKey.Phase.CLAIMING) {
                onOwnClaim(key, accepted, now, listener);
            }
            return;
        }
        pendingKeys.removeCompletedBy(entry);
    }

    private void onOwnClaim(PendingKey key, boolean accepted, EventTime now, KeyDecision.Listener listener) {
        AttemptId attempt = key.attempt;
        if (!accepted) {
            pendingKeys.remove(key);
            if (attempt != null) {
                pendingKeys.detach(key);
                KeyState state = ledger.state(key.call.key()).orElseThrow();
                listener.onDecision(attempt, decideRepeat(key.call, state, now.atLeastMicros()));
            }
            return;
        }
        if (attempt != null && isTooOld(key, now)) {
            pendingKeys.detach(key);
            listener.onDecision(attempt, logUnavailable(now, "the claim is too old"));
        }
        if (key.attempt == null) {
            // Failure: the caller is answered "not run" because the log doesn't respond, and the claim appears in the
            // log later. A retry at another companion would find a claim whose call nobody runs. Only the claimant
            // knows that the call never ran, so it releases the key in the log.
            key.phase = PendingKey.Phase.ENDING;
            record(key, new LogEntry.KeyRelease(key.call.key()));
            return;
        }
        key.phase = PendingKey.Phase.RUNNING;
        listener.onDecision(attempt, new KeyDecision.Run());
    }

    private boolean isTooOld(PendingKey key, EventTime now) {
        return now.atMostMicros() - key.claimedAtMostMicros >= expiry.maxClaimAgeMicros(key.call.service());
    }

    private void recordOutcome(AttemptId attempt, Function<Digest, LogEntry> entry) {
        PendingKey key = pendingKeys.find(attempt);
        if (key == null || key.phase != PendingKey.Phase.RUNNING) {
            return;
        }
        pendingKeys.detach(key);
        key.phase = PendingKey.Phase.ENDING;
        record(key, entry.apply(key.call.key()));
    }

    private void record(PendingKey key, LogEntry outcome) {
        key.outcome = outcome;
        if (writer.record(outcome) != LogWriter.OfferResult.QUEUED) {
            pendingKeys.remove(key);
        }
    }

    private void abandon(PendingKey key) {
        pendingKeys.detach(key);
        if (writer.retract(key.claim)) {
            pendingKeys.remove(key);
        }
    }

    private void expireTimedOutAttempts(EventTime now, KeyDecision.Listener listener) {
        for (PendingKey key : pendingKeys.timedOut(now.atMostMicros())) {
            AttemptId attempt = key.attempt;
            if (attempt == null) {
                continue;
            }
            abandon(key);
            listener.onDecision(attempt, logUnavailable(now, "the claim was not read back in time"));
        }
    }

    private KeyDecision logUnavailable(EventTime now, String detail) {
        return refusals.logUnavailable(writer.retryAfterMillis(now.atLeastMicros()), detail);
    }
}
