package org.rattanrudder.core.fleet;

import java.util.OptionalInt;

/**
 * The pace that a target reports of itself: how long work takes there, as a multiple of the usual time.
 *
 * <p>A reported pace describes the next few hundred ms. Its influence fades linearly with its age, towards the mean of
 * the paces that the target has reported so far.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class ReportedPace {
    /** Reports are taken as between these bounds, so that a false one has a bounded effect. */
    static final int MIN_PERCENT = 50;

    static final int MAX_PERCENT = 1_000;

    /**
     * Age at which a report has no influence any more. A pace is an indication of the next few hundred ms; relays that
     * use older reports send their requests to the same few targets.
     */
    static final double USUAL_FADE_MILLIS = 500;

    /** Time over which the mean follows the reports. */
    private static final double MEAN_MILLIS = 10_000;

    /** The longest time without a report that the next one stands for in the mean. */
    private static final long MAX_GAP_MILLIS = 1_000;

    private static final double PERCENT = 100;

    private final double fadeMillis;
    private double latest = 1;
    private double mean = 1;
    private long reportedAt;
    private boolean reported;

    /** Creates a pace of which nothing was reported, whose reports have no influence from the given age on. */
    ReportedPace(double fadeMillis) {
        this.fadeMillis = fadeMillis;
    }

    /** Records a report; the mean weighs each by the time since the one before, since busy times yield more reports. */
    void onReported(int percent, long nowMillis) {
        long gap = reported ? Math.min(MAX_GAP_MILLIS, Math.max(0, nowMillis - reportedAt)) : MAX_GAP_MILLIS;
        latest = Math.max(MIN_PERCENT, Math.min(MAX_PERCENT, percent)) / PERCENT;
        mean += (latest - mean) * gap / (gap + MEAN_MILLIS);
        reportedAt = nowMillis;
        reported = true;
    }

    /** Returns the expected pace, 1 for the usual one. */
    double at(long nowMillis) {
        double faded = (nowMillis - reportedAt) / fadeMillis;
        return !reported || faded >= 1 ? mean : mean + (latest - mean) * (1 - Math.max(0, faded));
    }

    /** Returns the last report as it is used, in percent; empty if there was none. */
    OptionalInt latestPercent() {
        return reported ? OptionalInt.of((int) Math.round(latest * PERCENT)) : OptionalInt.empty();
    }

    /** Returns how old the last report is, in ms; 0 if there was none. */
    long ageMillis(long nowMillis) {
        return reported ? nowMillis - reportedAt : 0;
    }
}
