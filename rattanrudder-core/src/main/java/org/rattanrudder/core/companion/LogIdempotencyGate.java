package org.rattanrudder.core.companion;

import java.io.ByteArrayOutputStream;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.claims.ClaimSettings;
import org.rattanrudder.core.claims.KeyClaims;
import org.rattanrudder.core.claims.KeyDecision;
import org.rattanrudder.core.claims.KeyedCall;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.log.LogWriterSettings;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.RunState;

/**
 * Lets an attempt with an idempotency key run only after its claim was read back from the log, and records its answer
 * in the log.
 */
final class LogIdempotencyGate implements IdempotencyGate {
    /** How long a drained companion waits until the outcomes of its attempts are in the log. */
    static final long DRAIN_TIMEOUT_MICROS = 5_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final ClaimSettings settings;
    private final KeyClaims claims;
    private final Map<AttemptId, Callback> pendingCallbacks = new HashMap<>();
    private final Map<AttemptId, Answer> answers = new HashMap<>();
    private long drainDeadlineMicros = Long.MAX_VALUE;

    LogIdempotencyGate(CompanionSettings companion, ClaimSettings settings, RandomGenerator random) {
        this.settings = settings;
        LogWriter writer = new LogWriter(LogStream.CLAIMS, companion.incarnation(), LogWriterSettings.DEFAULT, random);
        this.claims = new KeyClaims(companion.incarnation(), companion.instance(), settings, writer, random);
    }

    /**
     * An answer that is being received. Of a body that is too large to be recorded, only enough is kept to detect that.
     */
    private static final class Answer {
        private int status;
        private List<Header> headers = List.of();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    }

    @Override
    public void claim(Frame.Dispatch dispatch, EventContext context, Callback callback) {
        if (dispatch.idempotent() || dispatch.idempotencyKey().isEmpty()) {
            callback.onDecision(new Granted(), context);
            return;
        }
        KeyedCall call = KeyedCall.of(
                dispatch.service(),
                dispatch.customer(),
                dispatch.idempotencyKey().get(),
                dispatch.call());
        AttemptId attempt = dispatch.attempt();
        KeyDecision decision = claims.admit(attempt, call, context.now(), dispatch.deadlineMicros());
        if (decision instanceof KeyDecision.Hold) {
            pendingCallbacks.put(attempt, callback);
        } else {
            decide(attempt, decision, callback, context);
        }
    }

    @Override
    public void onAnswerStarted(AttemptId attempt, int status, List<Header> headers) {
        Answer answer = answers.get(attempt);
        if (answer != null) {
            answer.status = status;
            answer.headers = List.copyOf(headers);
        }
    }

    @Override
    public void onChunk(AttemptId attempt, byte[] bytes) {
        Answer answer = answers.get(attempt);
        if (answer != null && answer.body.size() <= settings.maxRecordedBodyBytes()) {
            answer.body.write(bytes, 0, Math.min(bytes.length, settings.maxRecordedBodyBytes() + 1));
        }
    }

    @Override
    public void onEnded(AttemptId attempt, Outcome outcome, EventContext context) {
        if (pendingCallbacks.remove(attempt) != null) {
            claims.cancel(attempt);
            return;
        }
        Answer answer = answers.remove(attempt);
        if (answer == null) {
            return;
        }
        switch (outcome) {
            case ANSWERED -> claims.recordAnswer(attempt, answer.status, answer.headers, answer.body.toByteArray());
            case NOT_RUN -> claims.recordNotRun(attempt);
            default -> claims.recordUnresolved(attempt);
        }
    }

    @Override
    public boolean isSettled(long nowMicros) {
        return claims.isDrained() || nowMicros >= drainDeadlineMicros;
    }

    @Override
    public void onTargetsChanged(Collection<AssignedTarget> targets, EventContext context) {
        for (AssignedTarget target : targets) {
            long seconds = target.document().limits().keyRetentionSeconds();
            claims.setKeyRetention(target.service(), seconds * MICROS_PER_SECOND);
        }
    }

    @Override
    public void handle(CompanionEvent event, EventContext context) {
        long now = context.nowMicros();
        KeyDecision.Listener listener = (attempt, decision) -> decidePending(attempt, decision, context);
        if (event instanceof CompanionEvent.LogRead read && read.stream() == LogStream.CLAIMS) {
            claims.onRecords(read.records(), read.caughtUp(), context.now(), listener);
        } else if (event instanceof CompanionEvent.LogReadFailed failed && failed.stream() == LogStream.CLAIMS) {
            claims.onReadFailed();
        } else if (event instanceof CompanionEvent.AppendSettled settled && settled.stream() == LogStream.CLAIMS) {
            claims.onAppendResult(settled.sequence(), settled.result(), now);
        } else if (event instanceof CompanionEvent.Tick) {
            claims.tick(context.now(), listener);
        } else if (event instanceof CompanionEvent.DrainRequested) {
            drainDeadlineMicros = Math.min(drainDeadlineMicros, now + DRAIN_TIMEOUT_MICROS);
        }
        claims.sendDue(now, (stream, batch) -> context.emit(new CompanionEffect.Append(stream, batch)));
    }

    private void decidePending(AttemptId attempt, KeyDecision decision, EventContext context) {
        Callback callback = pendingCallbacks.remove(attempt);
        if (callback != null) {
            decide(attempt, decision, callback, context);
        }
    }

    private void decide(AttemptId attempt, KeyDecision decision, Callback callback, EventContext context) {
        if (decision instanceof KeyDecision.Run) {
            answers.put(attempt, new Answer());
            callback.onDecision(new Granted(), context);
        } else if (decision instanceof KeyDecision.Replay replay) {
            callback.onDecision(new Replay(replay.answer()), context);
        } else if (decision instanceof KeyDecision.Refuse refuse) {
            Refusal refusal = refuse.refusal();
            // An attempt whose key has a running or unknown call hasn't run itself, but that call may have. So the
            // caller gets "unknown" and not "not run".
            boolean unknown = refusal.kind().runState() == RunState.UNKNOWN;
            callback.onDecision(unknown ? new OutcomeUnknown(refusal) : new Refused(refusal), context);
        }
    }
}
