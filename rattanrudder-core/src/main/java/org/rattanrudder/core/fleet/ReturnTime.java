package org.rattanrudder.core.fleet;

import org.rattanrudder.core.fleet.QueueForecast.Forecast;

/**
 * Decides when the caller of a request that was rejected early should retry it.
 *
 * <p>A retry that arrives while it can be on time is worth the most, so callers whose objective leaves room return
 * within a part of it; others return within the time in which what was ahead of them is served. Within this time a hash
 * of the request's ID selects the moment, so that those that relays reject in one moment return at different times
 * although the relays don't communicate. The time is divided among the priorities in use: of two requests with the same
 * forecast and time left the more urgent one returns first.
 */
public final class ReturnTime {
    /** The largest share of its remaining time that a caller is asked to wait; callers honour up to a third. */
    static final double MAX_SHARE = 0.3;

    /** Share of the objective that must be left for a retry that can be on time. */
    private static final double MIN_ON_TIME_SHARE = 0.3;

    /** The part of the time left to be on time in which callers return; the rest is for the queue and the target. */
    private static final double ON_TIME_FIRST = 0.1;

    private static final double ON_TIME_LAST = 0.7;

    /** The part of the request's turn in which callers return that can't be on time. */
    private static final double LATE_FIRST = 0.2;

    private static final double LATE_LAST = 1;

    /** Bits of a hash that a fraction is made of. */
    private static final int FRACTION_BITS = 53;

    private ReturnTime() {}

    /**
     * What is known of a rejected request.
     *
     * @param requestHash a hash of its ID
     * @param objectiveMillis its latency objective
     * @param elapsedMillis the time since it arrived
     * @param remainingMillis the time until its caller's deadline
     * @param neededMillis the time that a target needs for it
     */
    public record Caller(
            long requestHash, long objectiveMillis, long elapsedMillis, long remainingMillis, long neededMillis) {}

    /** Returns the time after which to retry, in ms; 0 if any wait leaves too little time. */
    public static long millis(Forecast forecast, Caller caller) {
        double longest = Math.min(
                caller.remainingMillis() * MAX_SHARE, caller.remainingMillis() - (double) caller.neededMillis());
        double within = Math.max(0, Math.min(forecast.waitMillis(), longest));
        double onTimeLeft = caller.objectiveMillis() - caller.elapsedMillis() - (double) caller.neededMillis();
        double fraction = fraction(forecast, caller.requestHash());
        if (onTimeLeft < caller.objectiveMillis() * MIN_ON_TIME_SHARE) {
            return Math.round(within * between(LATE_FIRST, LATE_LAST, fraction));
        }
        return Math.round(Math.min(within, onTimeLeft * between(ON_TIME_FIRST, ON_TIME_LAST, fraction)));
    }

    private static double fraction(Forecast forecast, long requestHash) {
        double hashed = (requestHash >>> (Long.SIZE - FRACTION_BITS)) / (double) (1L << FRACTION_BITS);
        return (forecast.rank() + hashed) / Math.max(forecast.rank() + 1, forecast.ranks());
    }

    private static double between(double first, double last, double fraction) {
        return first + (last - first) * fraction;
    }
}
