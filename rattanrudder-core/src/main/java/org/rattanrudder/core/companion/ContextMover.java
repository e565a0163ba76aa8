package org.rattanrudder.core.companion;

import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.TargetName;

/**
 * Fetches a prompt's context into its engine's cache before the call, and saves context that the engine would evict.
 */
interface ContextMover extends CompanionPart {
    /** A mover that fetches nothing, so that every prompt is called at once. */
    ContextMover NONE = (run, context, callback) -> callback.onFetched(Fetched.NOTHING, context);

    /**
     * Fetches the context that is worth fetching for a prompt that holds a slot at the engine. The callback is called
     * once, now or while a later event is handled, unless the attempt is dropped first.
     *
     * @param run the prompt
     * @param context the context of the current event
     * @param callback continues with the call
     */
    void fetch(PromptRun run, EventContext context, Callback callback);

    /** Handles a prompt that was queued, so that its context can be prefetched. */
    default void onQueued(PromptRun run, EventContext context) {}

    /** Handles an attempt that ended without a complete answer, at any time after it was queued. */
    default void onDropped(AttemptId attempt, EventContext context) {}

    /** Handles a prompt whose answer is complete. */
    default void onEnded(PromptRun run, Usage usage, EventContext context) {}

    /** Returns the measured rate of context fetches to a target in bytes per second; 0 before the first measurement. */
    default long fetchBytesPerSecond(TargetName target) {
        return 0;
    }

    /** Continues with a prompt once its context has been fetched. */
    @FunctionalInterface
    interface Callback {
        /** Called once, with what was fetched. */
        void onFetched(Fetched fetched, EventContext context);
    }

    /**
     * The context that was fetched for one prompt.
     *
     * @param tokens number of tokens whose cache blocks came from a store
     * @param bytes number of transferred bytes
     */
    record Fetched(int tokens, long bytes) {
        static final Fetched NOTHING = new Fetched(0, 0);
    }

    /**
     * A prompt and the engine that it is to run on.
     *
     * @param dispatch the attempt as dispatched
     * @param salt the cache salt, from which its block names are derived
     * @param document the service's document at admission
     * @param target the engine
     */
    record PromptRun(Frame.Dispatch dispatch, Digest salt, ServiceDocument document, TargetSettings target) {
        AttemptId attempt() {
            return dispatch.attempt();
        }
    }
}
