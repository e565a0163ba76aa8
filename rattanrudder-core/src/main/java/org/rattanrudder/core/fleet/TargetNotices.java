package org.rattanrudder.core.fleet;

/**
 * What one incarnation of a target has said that must not be forgotten or taken back while it lives.
 *
 * <p>It is kept apart from the target's record, which may be removed and be read again, late or in an older state.
 */
final class TargetNotices {
    private final long startedAt;
    private final Rest rest = new Rest();
    private boolean leaving;

    /**
     * Creates notices of an incarnation that has said nothing.
     *
     * @param startedAt when it started, see {@link TargetRegistration#startedAt}
     */
    TargetNotices(long startedAt) {
        this.startedAt = startedAt;
    }

    /** Returns when the incarnation started. */
    long startedAt() {
        return startedAt;
    }

    /** Records that it leaves; only a later incarnation can be there to stay. */
    void onLeaving() {
        leaving = true;
    }

    /** Returns whether it has said that it leaves. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns the rest that it has asked for. */
    Rest rest() {
        return rest;
    }
}
