package org.rattanrudder.core.fleet;

import org.rattanrudder.core.fleet.LoadReport.TargetLoad;

/**
 * The load of peers at a target as far as the target's own reports show it: what remains of them without this relay's
 * requests.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class ReportedLoad {
    /** How long the load that a target reports of itself is valid; after that, only this relay's own requests count. */
    private static final long VALID_MILLIS = 1_500;

    /** Assumed prefill tokens of a peer's waiting request: a mean prompt that is partly cached. */
    private static final long WAITING_REQUEST_TOKENS = 3_000;

    /** Assumed memory of a peer's running request, in tokens. */
    private static final long RUNNING_REQUEST_TOKENS = 4_000;

    private int peerRunning;
    private int peerWaiting;
    private long reportedAt = Long.MIN_VALUE / 2;

    /** Records a report of the target; this relay's own requests are known exactly, the rest belongs to peers. */
    void onReported(int running, int waiting, int ownRequests, long nowMillis) {
        peerRunning = Math.max(0, running + waiting - ownRequests);
        peerWaiting = Math.min(waiting, peerRunning);
        reportedAt = nowMillis;
    }

    /** Returns the load of peers at the target; none if the last report is too old. */
    TargetLoad peerLoad(String target, long nowMillis) {
        return nowMillis - reportedAt > VALID_MILLIS
                ? TargetLoad.none(target)
                : new TargetLoad(
                        target,
                        peerRunning,
                        peerRunning * RUNNING_REQUEST_TOKENS,
                        peerWaiting * WAITING_REQUEST_TOKENS);
    }
}
