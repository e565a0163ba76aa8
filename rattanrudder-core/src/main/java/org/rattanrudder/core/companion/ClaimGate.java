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

/** Lets an attempt with an idempotency key run only once its claim holds in the log, and records its answer there. */
final class ClaimGate implements KeyGate {
    /** How long a drained companion waits for the log to take the ends of its runs. */
    static final long SETTLE_MICROS = 5_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final ClaimSettings settings;
    private final KeyClaims claims;
    private final Map<AttemptId, Callback> held = new HashMap<>();
    private final Map<AttemptId, Answer> answers = new HashMap<>();
    private long settleByMicros = Long.MAX_VALUE;

    ClaimGate(CompanionSettings companion, ClaimSettings settings, RandomGenerator random) {
        this.settings = settings;
        LogWriter writer = new LogWriter(LogStream.CLAIMS, companion.incarnation(), LogWriterSettings.DEFAULT, random);
        this.claims = new KeyClaims(companion.incarnation(), companion.instance(), settings, writer, random);
    }

    /** What has come of an answer; of a body that is too large to be recorded only as much as shows that it is. */
    private static final class Answer {
        private int status;
        private List<Header> headers = List.of();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    }

    @Override
    public void claim(Frame.Dispatch dispatch, Turn turn, Callback callback) {
        if (dispatch.idempotent() || dispatch.idempotencyKey().isEmpty()) {
            callback.decided(new Granted(), turn);
            return;
        }
        KeyedCall call = KeyedCall.of(
                dispatch.service(),
                dispatch.customer(),
                dispatch.idempotencyKey().get(),
                dispatch.call());
        AttemptId attempt = dispatch.attempt();
        long deadline = turn.nowMicros() + dispatch.deadlineMicros();
        KeyDecision decision = claims.admit(attempt, call, turn.nowMicros(), deadline);
        if (decision instanceof KeyDecision.Hold) {
            held.put(attempt, callback);
        } else {
            decide(attempt, decision, callback, turn);
        }
    }

    @Override
    public void answered(AttemptId attempt, int status, List<Header> headers) {
        Answer answer = answers.get(attempt);
        if (answer != null) {
            answer.status = status;
            answer.headers = List.copyOf(headers);
        }
    }

    @Override
    public void chunk(AttemptId attempt, byte[] bytes) {
        Answer answer = answers.get(attempt);
        if (answer != null && answer.body.size() <= settings.maxRecordedBodyBytes()) {
            answer.body.write(bytes, 0, Math.min(bytes.length, settings.maxRecordedBodyBytes() + 1));
        }
    }

    @Override
    public void ended(AttemptId attempt, Ending ending, Turn turn) {
        if (held.remove(attempt) != null) {
            claims.cancel(attempt);
            return;
        }
        Answer answer = answers.remove(attempt);
        if (answer == null) {
            return;
        }
        switch (ending) {
            case ANSWERED -> claims.recordAnswer(attempt, answer.status, answer.headers, answer.body.toByteArray());
            case NOT_RUN -> claims.recordNotRun(attempt);
            default -> claims.recordUnresolved(attempt);
        }
    }

    @Override
    public boolean isSettled(long nowMicros) {
        return claims.isDrained() || nowMicros >= settleByMicros;
    }

    @Override
    public void configured(Collection<HeldTarget> targets, Turn turn) {
        for (HeldTarget target : targets) {
            long seconds = target.document().limits().keyRetentionSeconds();
            claims.setKeyRetention(target.service(), seconds * MICROS_PER_SECOND);
        }
    }

    @Override
    public void handle(CompanionEvent event, Turn turn) {
        long now = turn.nowMicros();
        KeyDecision.Listener sink = (attempt, decision) -> decideHeld(attempt, decision, turn);
        if (event instanceof CompanionEvent.LogRead read && read.stream() == LogStream.CLAIMS) {
            claims.onRecords(read.records(), read.caughtUp(), now, sink);
        } else if (event instanceof CompanionEvent.LogReadFailed failed && failed.stream() == LogStream.CLAIMS) {
            claims.onReadFailed();
        } else if (event instanceof CompanionEvent.AppendSettled settled && settled.stream() == LogStream.CLAIMS) {
            claims.onAppendResult(settled.sequence(), settled.result(), now);
        } else if (event instanceof CompanionEvent.Tick) {
            claims.tick(now, sink);
        } else if (event instanceof CompanionEvent.DrainRequested) {
            settleByMicros = Math.min(settleByMicros, now + SETTLE_MICROS);
        }
        claims.sendDue(now, (stream, batch) -> turn.ask(new CompanionEffect.Append(stream, batch)));
    }

    private void decideHeld(AttemptId attempt, KeyDecision decision, Turn turn) {
        Callback callback = held.remove(attempt);
        if (callback != null) {
            decide(attempt, decision, callback, turn);
        }
    }

    private void decide(AttemptId attempt, KeyDecision decision, Callback callback, Turn turn) {
        if (decision instanceof KeyDecision.Run) {
            answers.put(attempt, new Answer());
            callback.decided(new Granted(), turn);
        } else if (decision instanceof KeyDecision.Replay replay) {
            callback.decided(new Repeat(replay.answer()), turn);
        } else if (decision instanceof KeyDecision.Refuse refuse) {
            Refusal refusal = refuse.refusal();
            // An attempt that meets a running or unknown call hasn't run itself, but its key's call may have: the
            // caller hears that, and not "not run".
            boolean unknown = refusal.kind().runState() == RunState.UNKNOWN;
            callback.decided(unknown ? new Unknown(refusal) : new Refused(refusal), turn);
        }
    }
}
