package org.rattanrudder.core.companion;

/**
 * Detects pauses of the process itself, after which timeouts must not be applied at once.
 *
 * <p>After a pause, such as a frozen machine, every target and link seems to have timed out, although what they sent is
 * pending and unread. If timeouts applied at once, every running attempt would fail. So they don't apply until there
 * has been time to read the pending data.
 */
final class PauseDetector {
    /** Minimum gap between two ticks that counts as a pause. Ticks come every 50 ms. */
    static final long MIN_PAUSE_MICROS = 500_000;

    /** Time allowed for reading the data that is pending after a pause. */
    static final long CATCH_UP_MICROS = 1_000_000;

    private static final long NEVER = -1;

    private long lastTickMicros = NEVER;
    private long timeoutsApplyFromMicros;

    /** Records a tick; returns whether timeouts apply. */
    boolean tick(long nowMicros) {
        if (lastTickMicros != NEVER && nowMicros - lastTickMicros >= MIN_PAUSE_MICROS) {
            timeoutsApplyFromMicros = nowMicros + CATCH_UP_MICROS;
        }
        lastTickMicros = nowMicros;
        return nowMicros >= timeoutsApplyFromMicros;
    }
}
