package org.rattanrudder.core.cache;

import java.util.random.RandomGenerator;

/**
 * Decides whether a store is asked at all.
 *
 * <p>Guards against a dead or slow store delaying every prompt by a lookup's time limit. Each failure in a row doubles
 * the time for which the store is left alone; then a single question tries it, and the others pass it by until that is
 * answered. Jitter keeps the companions from all trying a store at the moment it comes back.
 */
final class StoreHealth {
    static final long FIRST_PAUSE_MICROS = 500_000;
    static final long LONGEST_PAUSE_MICROS = 60_000_000;

    private final RandomGenerator random;
    private long pauseMicros;
    private long closedUntilMicros;
    private boolean trying;

    StoreHealth(RandomGenerator random) {
        this.random = random;
    }

    /** Returns whether a question may go to the store now. */
    boolean isUsable(long nowMicros) {
        return pauseMicros == 0 || (!trying && nowMicros >= closedUntilMicros);
    }

    /** Notes that a question goes to the store. */
    void asked() {
        trying = pauseMicros > 0;
    }

    /** Notes an answer. */
    void answered() {
        pauseMicros = 0;
        trying = false;
    }

    /** Notes that no answer came in time. */
    void failed(long nowMicros) {
        if (pauseMicros > 0 && !trying && nowMicros < closedUntilMicros) {
            // Questions that were sent together fail together: one pause is enough for them.
            return;
        }
        trying = false;
        pauseMicros = pauseMicros == 0 ? FIRST_PAUSE_MICROS : Math.min(2 * pauseMicros, LONGEST_PAUSE_MICROS);
        closedUntilMicros = nowMicros + (long) (pauseMicros * (0.5 + random.nextDouble()));
    }
}
