package org.rattanrudder.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * Estimates when the first byte of a new request arrives, from the measured rate of first bytes of each priority.
 *
 * <p>It assumes nothing about how a target works inside: one that accepts many requests but computes them one by one
 * yields first bytes at a constant rate however many it was sent, and each of them later.
 */
final class FirstByteEstimator {
    private static final double TIME_CONSTANT_MICROS = 5_000_000;

    /** Fewer first bytes than this are too few to estimate a rate. */
    private static final double MIN_FIRST_BYTES = 4;

    private final Map<Integer, Measured> byPriority = new HashMap<>();

    /** Updates at which priorities requests are queued from now on. */
    void updateQueued(IntPredicate isQueued, long nowMicros) {
        byPriority.forEach((priority, measured) -> measured.updateQueued(isQueued.test(priority), nowMicros));
    }

    /** Records that a request of the priority has started. */
    void onStarted(int priority, long nowMicros) {
        Measured measured = of(priority);
        measured.advance(nowMicros);
        measured.pending++;
    }

    /** Records that a started request ended without a first byte. */
    void onCancelled(int priority) {
        of(priority).pending--;
    }

    /** Records the first byte of a started request. */
    void onFirstByte(int priority, long nowMicros) {
        Measured measured = of(priority);
        measured.onFirstByte(nowMicros);
        measured.pending--;
    }

    /**
     * Returns the expected time in microseconds until the first byte of a request with this many queued ahead of it;
     * 0 if unknown.
     */
    long expectedMicros(int priority, double ahead) {
        Measured measured = byPriority.get(priority);
        return measured == null ? 0 : measured.expectedMicros(ahead);
    }

    private Measured of(int priority) {
        return byPriority.computeIfAbsent(priority, each -> new Measured());
    }

    private static final class Measured {
        private final Rate rateWhileQueued = new Rate();
        private final Rate rateWhilePending = new Rate();
        private int pending;
        private boolean anyQueued;
        private long updatedMicros;

        void updateQueued(boolean isQueued, long nowMicros) {
            advance(nowMicros);
            anyQueued = isQueued;
        }

        void onFirstByte(long nowMicros) {
            advance(nowMicros);
            rateWhilePending.firstBytes++;
            rateWhileQueued.firstBytes += anyQueued ? 1 : 0;
        }

        /**
         * Uses the faster of both rates. A target without queued requests may be faster than its load shows. One
         * that was slow while requests were queued may have recovered, and if the old rate kept all new requests out
         * of the queue, it would never be measured again.
         */
        long expectedMicros(double ahead) {
            double perMicro = Math.max(rateWhileQueued.perMicro(), rateWhilePending.perMicro());
            return perMicro == 0 ? 0 : Math.round((ahead + pending + 1) / perMicro);
        }

        private void advance(long nowMicros) {
            long elapsed = nowMicros - updatedMicros;
            updatedMicros = nowMicros;
            if (anyQueued) {
                rateWhileQueued.advance(elapsed);
            }
            if (pending > 0) {
                rateWhilePending.advance(elapsed);
            }
        }
    }

    private static final class Rate {
        private double micros;
        private double firstBytes;

        void advance(long elapsedMicros) {
            double kept = Math.exp(-elapsedMicros / TIME_CONSTANT_MICROS);
            micros = micros * kept + elapsedMicros;
            firstBytes *= kept;
        }

        /** Returns the rate, or 0 if unknown. */
        double perMicro() {
            return firstBytes < MIN_FIRST_BYTES || micros == 0 ? 0 : firstBytes / micros;
        }
    }
}
