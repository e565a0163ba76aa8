package org.rattanrudder.core.fleet;

/**
 * Whether connections to one target open.
 *
 * <p>A machine without power answers no dial. When each relay sent a request to each such engine every two seconds, and
 * the request waited out its dial, a quarter of all prompts were late for as long as the engines' entries lasted.
 * Requests therefore wait for a dial only as long as a healthy target needs, and a target that couldn't be reached
 * takes none until a dial without a request has opened.
 *
 * <p>All times are milliseconds of one steady clock.
 */
final class Reach {
    /**
     * How long a connection may take to open before further requests go elsewhere, in ms. A healthy target answers
     * within some ms; one without power never does, and all that was sent there meanwhile waited out its dial.
     */
    private static final long DIAL_MILLIS = 80;

    /** The time between a dial that failed and the next one, in ms; it doubles with each in a row. */
    private static final long FIRST_RETRY_MILLIS = 250;

    private static final long LONGEST_RETRY_MILLIS = 2_000;
    private static final int MOST_DOUBLINGS = 3;

    /** A target that was dialled so lately isn't dialled again just to see whether it is there, in ms. */
    private static final long KNOWN_MILLIS = 500;

    private int dials;
    private long dialledAt = Long.MIN_VALUE / 2;
    private int failedInARow;
    private boolean overdue;

    /** Notes that a connection is being opened. */
    void dialling(long nowMillis) {
        if (dials == 0) {
            dialledAt = nowMillis;
        }
        dials++;
    }

    /** Notes that a connection was opened, or that it couldn't be. */
    void dialled(boolean opened, long nowMillis) {
        dials--;
        dialledAt = nowMillis;
        if (opened) {
            answers();
        } else {
            failedInARow++;
        }
    }

    /** Notes that a dial takes longer than a request waits for one. */
    void overdue() {
        overdue = true;
    }

    /** Notes that the target is there, whatever dials said. */
    void answers() {
        failedInARow = 0;
        overdue = false;
    }

    /** Returns whether the last dial failed, or is overdue. */
    boolean isLost() {
        return failedInARow > 0 || overdue;
    }

    /** Returns whether requests should go elsewhere. */
    boolean inDoubt(long nowMillis) {
        return isLost() || (dials > 0 && nowMillis - dialledAt > DIAL_MILLIS);
    }

    /** Returns how long after a dial that failed the next one is due, in ms. */
    long retryAfterMillis() {
        int doublings = Math.min(MOST_DOUBLINGS, Math.max(0, failedInARow - 1));
        return Math.min(LONGEST_RETRY_MILLIS, FIRST_RETRY_MILLIS << doublings);
    }

    /** Returns whether it should be dialled again: it couldn't be reached, and no dial is under way. */
    boolean isDialDue() {
        return isLost() && dials == 0;
    }

    /** Returns whether a dial would tell something new: none is under way, and the last one was a while ago. */
    boolean isWorthDialling(long nowMillis) {
        return dials == 0 && !isLost() && nowMillis - dialledAt >= KNOWN_MILLIS;
    }
}
