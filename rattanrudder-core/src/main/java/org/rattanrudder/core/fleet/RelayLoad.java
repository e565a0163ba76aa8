package org.rattanrudder.core.fleet;

import java.util.List;

/**
 * The work that one relay has under way at the targets.
 *
 * @param relay the relay and its start
 * @param sequence increases with each message of the relay
 * @param targets the targets that it has work at
 */
public record RelayLoad(String relay, long sequence, List<TargetLoad> targets) {
    /** Takes a copy of the targets. */
    public RelayLoad {
        targets = List.copyOf(targets);
    }

    /**
     * The work at one target.
     *
     * @param target the target's incarnation
     * @param requests how many requests
     * @param tokens the memory that they take at most, in tokens
     * @param unread the tokens of prompts that are yet to be read
     */
    public record TargetLoad(String target, int requests, long tokens, long unread) {
        /** No work. */
        static TargetLoad none(String target) {
            return new TargetLoad(target, 0, 0, 0);
        }

        /** Returns the work of both. */
        TargetLoad plus(TargetLoad other) {
            return new TargetLoad(target, requests + other.requests, tokens + other.tokens, unread + other.unread);
        }
    }
}
