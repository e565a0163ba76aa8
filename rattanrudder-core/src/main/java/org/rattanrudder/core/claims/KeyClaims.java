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

/**
 * Lets each keyed call run at most once over all companions: a run needs its claim read back from the log first.
 *
 * <p>A companion asks for each attempt, hands on what concerns the stream of claims, and tells how runs end:
 *
 * <pre>{@code
 * KeyDecision decision = claims.ask(attempt, KeyedCall.of(service, customer, key, call), now, now + deadline);
 * claims.read(records, caughtUp, now, (held, later) -> carryOut(held, later));
 * claims.answered(attempt, status, headers, body);
 * claims.pump(now, appender);
 * }</pre>
 *
 * <p>The stream must be read from the oldest record that the log keeps.
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
    private final OwnKeys own = new OwnKeys();
    private boolean caughtUp;
    private boolean saidStarted;
    private long lastOffset;

    /**
     * Creates one that knows nothing; it lets nothing run before the stream was read to its end.
     *
     * @param incarnation this process's incarnation, the claimant; the writer's too
     * @param instance this process's name, the same after a restart
     * @param settings bounds and waits
     * @param writer writes the stream of claims
     * @param random spreads the times to come back
     */
    public KeyClaims(
            long incarnation, InstanceName instance, ClaimSettings settings, LogWriter writer, RandomGenerator random) {
        this.incarnation = incarnation;
        this.instance = instance;
        this.settings = settings;
        this.writer = writer;
        this.refusals = new KeyRefusals(settings.claimTimeoutMicros(), random);
        this.ledger = new KeyLedger(settings.bodyBudget());
        this.deduplicator = new BatchDeduplicator(settings.logRetentionMicros());
        this.expiry = new KeyExpiry(ledger, random);
    }

    /** Honours the keys of a service for as long as its document says. */
    public void setKeyRetention(ServiceName service, long keyRetentionMicros) {
        expiry.honour(service, keyRetentionMicros);
    }

    /**
     * Asks whether an attempt may run. If it is held, one decision on it follows through a sink, unless it is given up
     * first.
     *
     * @param attempt the attempt; never asked for before
     * @param call what it would run
     * @param nowMicros the time
     * @param deadlineMicros when its answer would be too late
     */
    public KeyDecision admit(AttemptId attempt, KeyedCall call, long nowMicros, long deadlineMicros) {
        OwnKey known = own.find(call.key());
        if (known != null && known.phase == OwnKey.Phase.RUNNING) {
            return refusals.inProgressOrReused(known.call, call);
        }
        Optional<KeyState> state = ledger.state(call.key());
        if (state.isPresent() && !(known != null && known.end instanceof LogEntry.KeyRelease)) {
            return repeat(call, state.get(), nowMicros);
        }
        if (known != null && known.phase == OwnKey.Phase.CLAIMING) {
            return join(known, attempt, call, nowMicros, deadlineMicros);
        }
        return claim(attempt, call, nowMicros, deadlineMicros);
    }

    /** Takes an attempt back: it is gone before it ran. Nothing is decided on it any more. */
    public void cancel(AttemptId attempt) {
        OwnKey key = own.find(attempt);
        if (key != null && key.phase == OwnKey.Phase.CLAIMING) {
            abandon(key);
        }
    }

    /** Tells that an attempt which ran got this answer. */
    public void recordAnswer(AttemptId attempt, int status, List<Header> headers, byte[] body) {
        RecordedAnswer answer = RecordedAnswer.of(status, headers, body, settings.maxRecordedBodyBytes());
        end(attempt, answer::toEntry);
    }

    /** Tells that an attempt which was let run has not reached its target and never will. */
    public void recordNotRun(AttemptId attempt) {
        end(attempt, LogEntry.KeyRelease::new);
    }

    /** Tells that an attempt may have run and its answer won't be known. */
    public void recordUnresolved(AttemptId attempt) {
        end(attempt, LogEntry.KeyUnresolved::new);
    }

    /** Takes what was read from the stream of claims, and decides on the attempts whose claims are in it. */
    public void onRecords(List<LogRecord> records, boolean reachedEnd, long nowMicros, KeyDecision.Listener sink) {
        // Failure: this process was frozen, a key's retention passed meanwhile and another ran it; on waking, the old
        // claim is read back as the holder. It shows as a second run. Attempts that waited too long are given up before
        // the records are looked at, and the wait is far shorter than any retention.
        expireWaits(nowMicros, sink);
        writer.onRecords(records, reachedEnd);
        for (LogRecord record : records) {
            noteOffset(record.offset());
            if (!deduplicator.admit(record, nowMicros)) {
                continue;
            }
            for (LogEntry entry : record.batch().entries()) {
                boolean tookHold = ledger.apply(record.offset(), record.batch().writer(), entry, nowMicros);
                if (record.batch().writer() == incarnation) {
                    readBack(entry, tookHold, nowMicros, sink);
                }
            }
        }
        if (reachedEnd && !caughtUp) {
            caughtUp = true;
            sayStarted();
        }
    }

    /** Notes that the stream couldn't be read. */
    public void onReadFailed() {
        writer.onReadFailed();
    }

    /** Takes the answer to an append. */
    public void onAppendResult(long sequence, AppendResult result, long nowMicros) {
        writer.onAppendResult(sequence, result, nowMicros);
    }

    /** Gives up attempts whose wait is over, and notes expired keys; call it at each tick. */
    public void tick(long nowMicros, KeyDecision.Listener sink) {
        expireWaits(nowMicros, sink);
        // Failure: this process was frozen for longer than the log keeps records, and its own entries were dropped
        // before it read them: their keys would be refused for ever. A claim that turns up after all is given back.
        own.forgetClaimedBefore(nowMicros - settings.logRetentionMicros());
        if (caughtUp) {
            expiry.due(nowMicros).forEach(writer::record);
        }
    }

    /** Sends what is due; call it at the end of each event. */
    public void sendDue(long nowMicros, LogWriter.Appender appender) {
        writer.sendDue(nowMicros, appender);
    }

    /** Returns whether new keys may be claimed: the log answers, and its claims have been read. */
    public boolean isLogAvailable(long nowMicros) {
        return caughtUp && writer.isAvailable(nowMicros);
    }

    /** Returns whether an attempt was let run and its end hasn't been told. */
    public boolean isRunning(AttemptId attempt) {
        OwnKey key = own.find(attempt);
        return key != null && key.phase == OwnKey.Phase.RUNNING;
    }

    /** Returns whether every run's end is known to be in the log. */
    public boolean isDrained() {
        return own.size() == 0;
    }

    /** Returns the keys as the log has them. */
    public KeyLedger ledger() {
        return ledger;
    }

    private KeyDecision repeat(KeyedCall call, KeyState state, long nowMicros) {
        if (!state.request().equals(call.request())) {
            return KeyRefusals.reused();
        }
        if (state instanceof KeyState.Answered answered) {
            return new KeyDecision.Replay(answered.answer());
        }
        OwnKey known = own.find(call.key());
        if (known != null && known.end instanceof LogEntry.KeyOutcome outcome) {
            return new KeyDecision.Replay(RecordedAnswer.of(outcome));
        }
        if (state instanceof KeyState.Claimed claimed && claimed.claimant() != incarnation) {
            boolean recent = nowMicros - claimed.sinceMicros() < settings.inProgressMicros();
            return recent ? refusals.inProgress() : KeyRefusals.outcomeUnknown();
        }
        return KeyRefusals.outcomeUnknown();
    }

    private KeyDecision join(OwnKey claiming, AttemptId attempt, KeyedCall call, long nowMicros, long deadlineMicros) {
        if (claiming.attempt != null) {
            return refusals.inProgressOrReused(claiming.call, call);
        }
        if (!claiming.call.equals(call)) {
            return logUnavailable(nowMicros, "an earlier claim of the key is not settled");
        }
        // The attempt for which this claim was written was answered "not run" and never runs; the caller's repeat may
        // use the claim in its place, whether it is already in the log or still on its way.
        if (!writer.isAvailable(nowMicros)) {
            return logUnavailable(nowMicros, "the log doesn't answer");
        }
        hold(claiming, attempt, nowMicros, deadlineMicros);
        return new KeyDecision.Hold();
    }

    private KeyDecision claim(AttemptId attempt, KeyedCall call, long nowMicros, long deadlineMicros) {
        if (!caughtUp) {
            return logUnavailable(nowMicros, "the claims are still being read");
        }
        if (own.size() >= settings.capacity()) {
            return refusals.overloaded();
        }
        OwnKey key = new OwnKey(call, incarnation, lastOffset, nowMicros);
        LogWriter.OfferResult offer = writer.offer(key.claim, nowMicros);
        if (offer == LogWriter.OfferResult.UNAVAILABLE) {
            return logUnavailable(nowMicros, "the log doesn't answer");
        }
        if (offer == LogWriter.OfferResult.FULL) {
            return refusals.overloaded();
        }
        own.add(key);
        hold(key, attempt, nowMicros, deadlineMicros);
        return new KeyDecision.Hold();
    }

    private void hold(OwnKey key, AttemptId attempt, long nowMicros, long deadlineMicros) {
        own.attach(key, attempt, Math.min(deadlineMicros, nowMicros + settings.claimTimeoutMicros()));
    }

    private void sayStarted() {
        if (!saidStarted) {
            saidStarted = true;
            writer.record(new LogEntry.ClaimantStarted(instance));
        }
    }

    private void noteOffset(long offset) {
        if ((caughtUp || lastOffset > 0) && offset > lastOffset + 1) {
            // Records were dropped before they were read. What is missing is older than any key's retention, but copies
            // of this process's own claims may stand between there and the end: no new claim until all is read.
            caughtUp = false;
        }
        lastOffset = offset;
        expiry.read(offset);
    }

    private void readBack(LogEntry entry, boolean tookHold, long nowMicros, KeyDecision.Listener sink) {
        if (entry instanceof LogEntry.KeyClaim claim) {
            OwnKey key = own.find(claim.key());
            if (key == null && tookHold) {
                writer.record(new LogEntry.KeyRelease(claim.key()));
            } else if (key != null && key.phase == OwnKey.Phase.CLAIMING) {
                claimReadBack(key, tookHold, nowMicros, sink);
            }
            return;
        }
        own.removeEndedBy(entry);
    }

    private void claimReadBack(OwnKey key, boolean tookHold, long nowMicros, KeyDecision.Listener sink) {
        AttemptId attempt = key.attempt;
        if (!tookHold) {
            own.remove(key);
            if (attempt != null) {
                own.detach(key);
                KeyState holder = ledger.state(key.call.key()).orElseThrow();
                sink.onDecision(attempt, repeat(key.call, holder, nowMicros));
            }
            return;
        }
        if (attempt != null && nowMicros - key.claimedMicros >= expiry.longestGrantMicros(key.call.service())) {
            own.detach(key);
            sink.onDecision(attempt, logUnavailable(nowMicros, "the claim is too old"));
        }
        if (key.attempt == null) {
            // Failure: the caller was told "not run" since the log didn't answer, and the claim turned up later. Its
            // retry at another companion would meet a claim that no one runs. The claimant, which alone knows that it
            // never ran, gives the key back in the log.
            key.phase = OwnKey.Phase.ENDING;
            record(key, new LogEntry.KeyRelease(key.call.key()));
            return;
        }
        key.phase = OwnKey.Phase.RUNNING;
        sink.onDecision(attempt, new KeyDecision.Run());
    }

    private void end(AttemptId attempt, Function<Digest, LogEntry> entry) {
        OwnKey key = own.find(attempt);
        if (key == null || key.phase != OwnKey.Phase.RUNNING) {
            return;
        }
        own.detach(key);
        key.phase = OwnKey.Phase.ENDING;
        record(key, entry.apply(key.call.key()));
    }

    private void record(OwnKey key, LogEntry end) {
        key.end = end;
        if (writer.record(end) != LogWriter.OfferResult.QUEUED) {
            own.remove(key);
        }
    }

    private void abandon(OwnKey key) {
        own.detach(key);
        if (writer.retract(key.claim)) {
            own.remove(key);
        }
    }

    private void expireWaits(long nowMicros, KeyDecision.Listener sink) {
        for (OwnKey key : own.overdue(nowMicros)) {
            AttemptId attempt = key.attempt;
            if (attempt == null) {
                continue;
            }
            abandon(key);
            sink.onDecision(attempt, logUnavailable(nowMicros, "the claim was not read back in time"));
        }
    }

    private KeyDecision logUnavailable(long nowMicros, String detail) {
        return refusals.logUnavailable(writer.retryAfterMillis(nowMicros), detail);
    }
}
