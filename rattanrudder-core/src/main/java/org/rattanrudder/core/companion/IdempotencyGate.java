package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.claims.RecordedAnswer;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Refusal;

/** Decides whether an attempt with an idempotency key may run, before it is queued. */
interface IdempotencyGate extends CompanionPart {
    /**
     * Requests the right to run an attempt. The callback is called exactly once, now or while a later event is handled.
     *
     * @param dispatch the attempt as dispatched
     * @param context the context of the current event
     * @param callback receives the decision
     */
    void claim(Frame.Dispatch dispatch, EventContext context, Callback callback);

    /** Handles the status and headers of the answer to a granted attempt. */
    default void onAnswerStarted(AttemptId attempt, int status, List<Header> headers) {}

    /** Handles a chunk of the answer's body. */
    default void onChunk(AttemptId attempt, byte[] bytes) {}

    /** Handles the end of an attempt for which {@link #claim} was called; called exactly once for each. */
    default void onEnded(AttemptId attempt, Outcome outcome, EventContext context) {}

    /** Returns whether the outcomes of all ended attempts have been recorded, or the time allowed for it has passed. */
    default boolean isSettled(long nowMicros) {
        return true;
    }

    /** The outcome of an attempt. */
    enum Outcome {
        /** The target's answer is complete. */
        ANSWERED,
        /** The attempt never ran and never will. */
        NOT_RUN,
        /** The attempt may have run. */
        UNKNOWN
    }

    /** Receives the decision on one attempt. */
    @FunctionalInterface
    interface Callback {
        /** Called once, with the decision. */
        void onDecision(Decision decision, EventContext context);
    }

    /** The decision on a claim. */
    sealed interface Decision {}

    /** The attempt may run. */
    record Granted() implements Decision {}

    /**
     * The attempt must not run, and hasn't run.
     *
     * @param refusal why
     */
    record Refused(Refusal refusal) implements Decision {}

    /**
     * An earlier call with this key may have run, and its outcome is unknown.
     *
     * @param refusal why
     */
    record OutcomeUnknown(Refusal refusal) implements Decision {}

    /**
     * An earlier call with this key has been answered, and the same answer is sent again.
     *
     * @param answer the recorded answer
     */
    record Replay(RecordedAnswer answer) implements Decision {}
}
