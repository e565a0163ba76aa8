package org.rattanrudder.core.rollout;

/**
 * The lease of the one process that gives orders to engines, kept as a log of its own.
 *
 * <p>A record is appended only at the end that its writer has read, so of two writers one fails. Its holder may give
 * orders for {@link #LEASE_MILLIS} from when it sent the append. Everybody else waits that long, and the time in which
 * two holders may not take turns, from when it read the record. A holder that stood still for a while doesn't notice by
 * the steady clock: the wall clock's run is compared too, and a holder that finds a gap drops its lease.
 *
 * <p>Times are milliseconds of a steady clock.
 */
public final class OrderLease {
    /** How long a record allows orders: renewing costs a write, and a dead holder delays a rollout by as much. */
    public static final long LEASE_MILLIS = 1_200;

    /** When this much is left, the holder renews: an append takes some ms, and hundreds when the log is slow. */
    public static final long RENEW_BEFORE_EXPIRY_MILLIS = 600;

    /** What clocks and reads may differ by when a lease is waited out, in ms. */
    private static final long MARGIN_MILLIS = 300;

    /** A wall clock that ran this much ahead of the steady clock means that the process stood still, in ms. */
    private static final long STOOD_STILL_MILLIS = 200;

    private final String self;
    private final long turnMillis;
    private long end;
    private boolean known;
    private String lastHolder = "";
    private long lastReadAt = Long.MIN_VALUE / 2;
    private long fencingToken = -1;
    private long heldUntil = Long.MIN_VALUE / 2;
    private long heldUntilWall = Long.MIN_VALUE / 2;

    /**
     * Makes the state of a process that holds nothing.
     *
     * @param self its name, another one after each start
     * @param turnMillis the time in which two holders may not both give orders
     */
    public OrderLease(String self, long turnMillis) {
        this.self = self;
        this.turnMillis = turnMillis;
    }

    /** Notes that all records before an offset were read. */
    public void advanceTo(long newEnd) {
        end = Math.max(end, newEnd);
        known = true;
    }

    /** Notes a record that was read. */
    public void onRecord(long offset, LeaseRecord record, long nowMillis) {
        advanceTo(offset + 1);
        if (!record.holder().equals(self)) {
            lastHolder = record.holder();
            lastReadAt = nowMillis;
            if (offset > fencingToken) {
                heldUntil = Long.MIN_VALUE / 2;
            }
        }
    }

    /** Returns whether an append is due: to take the lease, or to renew it. */
    public boolean shouldAppend(long nowMillis) {
        if (!known) {
            return false;
        }
        if (nowMillis < heldUntil) {
            return heldUntil - nowMillis < RENEW_BEFORE_EXPIRY_MILLIS;
        }
        boolean waited = nowMillis - lastReadAt > LEASE_MILLIS + turnMillis + MARGIN_MILLIS;
        return lastHolder.isEmpty() || waited;
    }

    /** Returns the offset at which an append must land to count. */
    public long appendOffset() {
        return end;
    }

    /** Notes that an append of ours landed. */
    public void onAppended(long offset, long sentAtMillis, long sentAtWallMillis) {
        advanceTo(offset + 1);
        fencingToken = offset;
        heldUntil = sentAtMillis + LEASE_MILLIS;
        heldUntilWall = sentAtWallMillis + LEASE_MILLIS;
    }

    /** Notes that an append of ours didn't land where it had to: others wrote. */
    public void onConflict() {
        known = false;
        heldUntil = Long.MIN_VALUE / 2;
    }

    /** Returns whether orders may be given now. */
    public boolean isHeld(long nowMillis, long wallMillis) {
        long left = heldUntil - nowMillis;
        return left > 0
                && heldUntilWall - wallMillis > -STOOD_STILL_MILLIS
                && heldUntilWall - wallMillis < 2 * LEASE_MILLIS;
    }

    /** Returns the fencing token of the lease that was last held; -1 if none was. */
    public long fencingToken() {
        return fencingToken;
    }
}
