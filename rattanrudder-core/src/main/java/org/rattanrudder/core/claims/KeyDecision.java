package org.rattanrudder.core.claims;

import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Refusal;

/** The decision on an attempt to run a call with an idempotency key. */
public sealed interface KeyDecision {
    /** Run the call now, once, and record its outcome. */
    record Run() implements KeyDecision {}

    /** Hold the attempt: a decision follows when its claim is read back or has timed out. */
    record Hold() implements KeyDecision {}

    /**
     * Answer with the recorded answer; don't run the call.
     *
     * @param answer the recorded answer
     */
    record Replay(RecordedAnswer answer) implements KeyDecision {}

    /**
     * Refuse the attempt: it is never run.
     *
     * @param refusal why
     */
    record Refuse(Refusal refusal) implements KeyDecision {}

    /** Receives the decisions on held attempts. */
    @FunctionalInterface
    interface Listener {
        /** Called once for each held attempt; the decision is never {@link Hold}. */
        void onDecision(AttemptId attempt, KeyDecision decision);
    }
}
