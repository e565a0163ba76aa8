package org.rattanrudder.core.topics;

/**
 * Decides until when a process that has started waits for a topic to be read before it takes callers.
 *
 * <p>The wait is bounded: a topic that can't be read must not keep a process away from its callers for good. All times
 * are milliseconds of a monotonic clock.
 */
public final class InitialReadWait {
    /** How long the topic is waited for once all else has been read. */
    public static final long MAX_MILLIS = 2_000;

    private boolean begun;
    private boolean read;
    private long begunAt;

    /** Records that all else has been read; only the first call counts. */
    public void begin(long nowMillis) {
        if (!begun) {
            begun = true;
            begunAt = nowMillis;
        }
    }

    /** Records that the topic has been read to its end. */
    public void onRead() {
        read = true;
    }

    /** Returns whether the topic has been read, or waited for long enough. */
    public boolean isOver(long nowMillis) {
        return read || begun && nowMillis - begunAt >= MAX_MILLIS;
    }
}
