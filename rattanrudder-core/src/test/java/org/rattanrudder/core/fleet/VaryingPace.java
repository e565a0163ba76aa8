package org.rattanrudder.core.fleet;

import java.util.SplittableRandom;

/** The true pace of a machine that its targets share with others: slower for a share of the time. */
final class VaryingPace {
    private static final double SLOW = 2.5;
    private static final double SLOW_SHARE = 0.15;

    /** The mean pace. */
    static final double MEAN = 1 + SLOW_SHARE * (SLOW - 1);

    private final SplittableRandom random;
    private final double changeMillis;
    private double pace = 1;
    private double changesAt;

    /** Creates a pace that is drawn anew after random times with the given mean. */
    VaryingPace(SplittableRandom random, double changeMillis) {
        this.random = random;
        this.changeMillis = changeMillis;
    }

    /** Returns the pace at a time; times must not decrease. */
    double at(double millis) {
        while (changesAt <= millis) {
            pace = random.nextDouble() < SLOW_SHARE ? SLOW : 1;
            changesAt += -changeMillis * Math.log(1 - random.nextDouble());
        }
        return pace;
    }

    /** Returns when work is done that begins at a time and takes so long at the usual pace, in ms. */
    double finish(double from, double usualMillis) {
        double time = from;
        double left = usualMillis;
        while (true) {
            double now = at(time);
            if (time + left * now <= changesAt) {
                return time + left * now;
            }
            left -= (changesAt - time) / now;
            time = changesAt;
        }
    }
}
