package org.rattanrudder.core.claims;

import org.rattanrudder.core.model.Digest;

/** The state of a claimed key according to the log. */
public sealed interface KeyState {
    /** Returns the digest of the call that the key was used for. */
    Digest request();

    /**
     * The key is claimed and has no outcome: its claimant may be about to run the call, be running it, or have crashed.
     *
     * @param request the digest of the call
     * @param claimant the incarnation that may run it
     * @param sinceMicros when this process read the claim
     */
    record Claimed(Digest request, long claimant, long sinceMicros) implements KeyState {}

    /**
     * The call ran and its answer is known.
     *
     * @param request the digest of the call
     * @param answer the answer
     */
    record Answered(Digest request, RecordedAnswer answer) implements KeyState {}

    /**
     * The call may have run, and its answer will never be known.
     *
     * @param request the digest of the call
     */
    record Unresolved(Digest request) implements KeyState {}
}
