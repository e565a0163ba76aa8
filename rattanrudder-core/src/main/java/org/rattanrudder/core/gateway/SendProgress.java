package org.rattanrudder.core.gateway;

/** Tells whether a caller still takes what waits to be sent to it, from regular looks at how much that is. */
public final class SendProgress {
    /** What a caller must take in an idle timeout; one that takes a few bytes at a time could hold them for hours. */
    static final long MIN_BYTES = 16 * 1_024;

    private long unsentAtProgress;
    private long progressAt;

    /** Creates one for a connection to which nothing was written. */
    public SendProgress(long nowMillis) {
        progressAt = nowMillis;
    }

    /** Records how many bytes wait now. */
    public void update(long unsentBytes, long nowMillis) {
        boolean more = unsentBytes > unsentAtProgress;
        if (unsentBytes == 0 || more || unsentAtProgress - unsentBytes >= MIN_BYTES) {
            unsentAtProgress = unsentBytes;
            progressAt = nowMillis;
        }
    }

    /** Returns whether the caller has taken too little of what waits for longer than the given time. */
    public boolean isStalled(long nowMillis, long idleTimeoutMillis) {
        return unsentAtProgress > 0 && nowMillis - progressAt > idleTimeoutMillis;
    }
}
