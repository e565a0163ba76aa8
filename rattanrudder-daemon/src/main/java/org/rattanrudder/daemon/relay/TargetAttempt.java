package org.rattanrudder.daemon.relay;

import org.rattanrudder.core.fleet.Target;

/** One try of a request at one target; owned by its exchange. */
final class TargetAttempt {
    private final Target target;
    private final TargetConnection connection;
    private final RequestPlan.Outgoing outgoing;
    private final long sentAt;
    private long lastPieceAt;
    private long firstPieceMillis = -1;
    private long longestPauseMillis;

    TargetAttempt(Target target, TargetConnection connection, RequestPlan.Outgoing outgoing, long sentAt) {
        this.target = target;
        this.connection = connection;
        this.outgoing = outgoing;
        this.sentAt = sentAt;
        lastPieceAt = sentAt;
        target.onSent(outgoing.work(), sentAt);
    }

    Target target() {
        return target;
    }

    TargetConnection connection() {
        return connection;
    }

    Target.RequestCost work() {
        return outgoing.work();
    }

    RequestPlan.Outgoing outgoing() {
        return outgoing;
    }

    long sentAt() {
        return sentAt;
    }

    long lastPieceAt() {
        return lastPieceAt;
    }

    /** Returns how long the first byte took, in ms; -1 before it. */
    long firstPieceMillis() {
        return firstPieceMillis;
    }

    /** Returns the longest time between two pieces, in ms. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    boolean hasBegun() {
        return firstPieceMillis >= 0;
    }

    /** Notes a piece of the answer; returns whether it was the first. */
    boolean piece(long nowMillis) {
        long pause = nowMillis - lastPieceAt;
        lastPieceAt = nowMillis;
        target.onBytesReceived(nowMillis);
        if (hasBegun()) {
            longestPauseMillis = Math.max(longestPauseMillis, pause);
            return false;
        }
        firstPieceMillis = nowMillis - sentAt;
        target.onFirstByte(work());
        return true;
    }

    /** The attempt is over, in whatever way. */
    void end() {
        target.onEnded(work(), hasBegun());
    }
}
