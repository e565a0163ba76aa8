package org.rattanrudder.core.cache;

/** An exponentially smoothed throughput in units per second: each new sample has a weight of a fifth. */
final class ThroughputMeter {
    private static final double NEWEST_WEIGHT = 0.2;

    private double perSecond;
    private boolean measured;

    ThroughputMeter(double assumedPerSecond) {
        this.perSecond = Math.max(1, assumedPerSecond);
    }

    void add(long units, long micros) {
        if (units > 0 && micros > 0) {
            measured = true;
            perSecond += NEWEST_WEIGHT * (units * 1e6 / micros - perSecond);
        }
    }

    /** Returns the measured throughput; 0 before the first sample. */
    long measuredPerSecond() {
        return measured ? Math.round(perSecond) : 0;
    }

    /** Returns how long this many units take, in microseconds. */
    long micros(long units) {
        return (long) (units * 1e6 / perSecond);
    }
}
