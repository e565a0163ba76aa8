package org.rattanrudder.core.fleet;

/**
 * The rest that a target has asked this relay for.
 *
 * <p>Only time ends it: a response that arrives meanwhile may have been under way when the target asked. After it one
 * request at a time is admitted until the target has accepted one, since all relays that were asked return at about the
 * same time.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class Rest {
    /** How long a request that may end without a response keeps others from being admitted after a rest. */
    static final long TRIAL_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long until = NEVER;
    private long trialAt = NEVER;
    private boolean accepting = true;
    private int sent;

    /** Records that the target wants rest. The latest end that it has named counts. */
    void onAsked(RestNotice.Asked asked, long nowMillis) {
        sent = lasts(nowMillis) ? sent : 0;
        until = Math.max(until, nowMillis + asked.observedMillis());
        trialAt = NEVER;
        accepting = false;
    }

    /** Records that a request will be sent. */
    void onReserved(long nowMillis) {
        trialAt = nowMillis;
    }

    /** Records that a reserved request won't be sent. */
    void onCancelled() {
        trialAt = NEVER;
    }

    /** Records that a request was sent. */
    void onSent(long nowMillis) {
        sent += lasts(nowMillis) ? 1 : 0;
    }

    /** Returns how many requests were sent in the last rest. */
    int sent() {
        return sent;
    }

    /** Records that the target has accepted a request. */
    void onAccepted(long sentAt) {
        accepting |= sentAt >= until;
    }

    /** Returns whether the rest lasts. */
    boolean lasts(long nowMillis) {
        return nowMillis < until;
    }

    /** Returns whether another request may be placed. */
    boolean admits(long nowMillis) {
        return !lasts(nowMillis) && (accepting || nowMillis - trialAt >= TRIAL_MILLIS);
    }

    /** Returns how long the rest still lasts, in ms. */
    long remainingMillis(long nowMillis) {
        return Math.max(0, until - nowMillis);
    }
}
