package org.rattanrudder.core.claims;

import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Refusal;

/** What is to be done with an attempt to run a keyed call. */
public sealed interface KeyDecision {
    /** Run it now, once; its end must be told. */
    record Run() implements KeyDecision {}

    /** Hold it: a decision follows when its claim is read back, or when the wait is over. */
    record Hold() implements KeyDecision {}

    /**
     * Answer with what was recorded; don't run it.
     *
     * @param answer the recorded answer
     */
    record Replay(RecordedAnswer answer) implements KeyDecision {}

    /**
     * Don't run it, now or later.
     *
     * @param refusal why
     */
    record Refuse(Refusal refusal) implements KeyDecision {}

    /** Takes the decisions on attempts that were held. */
    @FunctionalInterface
    interface Listener {
        /** Takes the one decision on a held attempt; never {@link Hold}. */
        void onDecision(AttemptId attempt, KeyDecision decision);
    }
}
