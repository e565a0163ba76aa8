package org.rattanrudder.core.fleet;

import java.util.Arrays;
import java.util.Optional;

/**
 * Forecasts when a request at its place in a service's queue would be sent.
 *
 * <p>The forecast divides what is ahead of the request by the rate at which the queue was served lately, less what more
 * urgent requests took of it: those that arrive while it waits go before it. The rate is measured over the time in
 * which requests waited, since a queue that is empty says nothing of what its engines could take. It is measured from
 * one service to the next, so that a burst of dispatches counts with the wait before it. Without a service for {@link
 * #MAX_AGE_MILLIS} there is no forecast.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class QueueForecast {
    /** The age of the last service from which on there is no forecast. */
    public static final long MAX_AGE_MILLIS = 2_000;

    /** Time of waiting within which the weight of a service falls to 1/e. */
    private static final double MEMORY_MILLIS = 1_500;

    /** Least weight of the services that a rate is taken from. */
    private static final double MIN_SERVED = 4;

    /** Least time of waiting that a rate is taken from. */
    private static final double MIN_WAITING_MILLIS = 200;

    /** Least share of the rate that is counted on for the least urgent; the rate of their own is hardly measured. */
    private static final double MIN_SHARE_LEFT = 0.02;

    /** How long a priority counts as in use after its last request. */
    private static final long PRIORITY_MEMORY_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Late requests come after all that can still be on time. */
    private static final int LEVELS = 2 * QueueBacklog.PRIORITIES;

    private final double[] servedRequests = new double[LEVELS];
    private final double[] servedTokens = new double[LEVELS];
    private final long[] priorityUsedAt = new long[QueueBacklog.PRIORITIES];
    private int prioritiesUsed;
    private double measuredMillis;
    private double unmeasuredMillis;
    private double weight = 1;
    private boolean waiting;
    private long waitingCountedAt;
    private boolean served;
    private long lastServedAt;

    /** Creates a forecast that knows nothing yet. */
    public QueueForecast() {}

    /**
     * When a request would be sent, and what this was taken from.
     *
     * @param waitMillis the time until it would be sent
     * @param late whether it would be sent as a late request
     * @param ahead what is ahead of it
     * @param requestsPerSecond the rate at which the queue was served, requests of all priorities
     * @param tokensPerSecond the same in tokens
     * @param ageMillis the time since the last service
     * @param rank how many more urgent priorities have sent requests lately
     * @param ranks how many priorities have, with its own
     */
    public record Forecast(
            long waitMillis,
            boolean late,
            HoldingQueue.Work ahead,
            double requestsPerSecond,
            double tokensPerSecond,
            long ageMillis,
            int rank,
            int ranks) {}

    /**
     * A request's place in the queue.
     *
     * @param priority its priority, 0 first
     * @param onTimeUntilMillis until when it counts as on time
     * @param lateUntilMillis until when it waits as a late request
     * @param deadlineMillis when its caller stops waiting
     */
    public record Place(int priority, long onTimeUntilMillis, long lateUntilMillis, long deadlineMillis) {
        /** Returns the time from which on sending it is of no use. */
        public long usefulUntilMillis() {
            return Math.min(lateUntilMillis, deadlineMillis);
        }
    }

    /** Records whether any request waits; must be called after each change of the queue. */
    public void onQueueChanged(boolean anyWaiting, long nowMillis) {
        countWaiting(nowMillis);
        waiting = anyWaiting;
    }

    /**
     * Records that a request was sent while requests waited.
     *
     * @param late whether it was queued as late
     */
    public void onServed(int priority, boolean late, int tokens, long nowMillis) {
        countWaiting(nowMillis);
        if (!isFresh(nowMillis)) {
            forget();
        }
        if (unmeasuredMillis > 0) {
            measureWaiting();
        }
        servedRequests[level(priority, late)] += weight;
        servedTokens[level(priority, late)] += tokens * weight;
        served = true;
        lastServedAt = nowMillis;
    }

    /** Lets older services lose weight; those that end this time of waiting have its mean weight. */
    private void measureWaiting() {
        double kept = Math.exp(-unmeasuredMillis / MEMORY_MILLIS);
        for (int level = 0; level < LEVELS; level++) {
            servedRequests[level] *= kept;
            servedTokens[level] *= kept;
        }
        double measured = MEMORY_MILLIS * (1 - kept);
        measuredMillis = measuredMillis * kept + measured;
        weight = measured / unmeasuredMillis;
        unmeasuredMillis = 0;
    }

    private void countWaiting(long nowMillis) {
        if (waiting) {
            unmeasuredMillis += nowMillis - waitingCountedAt;
        }
        waitingCountedAt = nowMillis;
    }

    private boolean isFresh(long nowMillis) {
        return served && nowMillis - lastServedAt <= MAX_AGE_MILLIS;
    }

    /** Forgets the rate, which may be that of other engines; the time of waiting since the last service counts. */
    private void forget() {
        Arrays.fill(servedRequests, 0);
        Arrays.fill(servedTokens, 0);
        measuredMillis = 0;
        unmeasuredMillis = Math.min(unmeasuredMillis, MAX_AGE_MILLIS);
    }

    private static int level(int priority, boolean late) {
        return QueueBacklog.level(priority) + (late ? QueueBacklog.PRIORITIES : 0);
    }

    /** Returns whether there are forecasts now: enough was served, and not too long ago. */
    public boolean isKnown(long nowMillis) {
        return isFresh(nowMillis) && measuredMillis >= MIN_WAITING_MILLIS && sum(servedRequests, LEVELS) >= MIN_SERVED;
    }

    /** Returns the forecast for a request that joins the queue now; empty while too little is known. */
    public Optional<Forecast> forecast(HoldingQueue<?> queue, Place place, long nowMillis) {
        recordPriority(place.priority(), nowMillis);
        if (!isKnown(nowMillis)) {
            return Optional.empty();
        }
        HoldingQueue.Work ahead = queue.aheadOf(place.priority(), place.onTimeUntilMillis());
        long wait = waitMillis(ahead.requests(), ahead.tokens(), place.priority(), false);
        if (nowMillis + wait <= place.onTimeUntilMillis()) {
            return Optional.of(forecast(wait, false, ahead, place.priority(), nowMillis));
        }
        HoldingQueue.Work aheadOfLate = queue.aheadOfLate(place.priority(), place.deadlineMillis());
        long lateWait = waitMillis(aheadOfLate.requests(), aheadOfLate.tokens(), place.priority(), true);
        return Optional.of(forecast(
                Math.max(place.onTimeUntilMillis() - nowMillis, lateWait),
                true,
                aheadOfLate,
                place.priority(),
                nowMillis));
    }

    /** Returns a forecast with what it is taken from. */
    Forecast forecast(long wait, boolean late, HoldingQueue.Work ahead, int priority, long nowMillis) {
        return new Forecast(
                wait,
                late,
                ahead,
                sum(servedRequests, LEVELS) * MILLIS_PER_SECOND / measuredMillis,
                sum(servedTokens, LEVELS) * MILLIS_PER_SECOND / measuredMillis,
                nowMillis - lastServedAt,
                prioritiesInUse(QueueBacklog.level(priority), nowMillis),
                prioritiesInUse(QueueBacklog.PRIORITIES, nowMillis));
    }

    private void recordPriority(int priority, long nowMillis) {
        int level = QueueBacklog.level(priority);
        prioritiesUsed |= 1 << level;
        priorityUsedAt[level] = nowMillis;
    }

    /** Returns how many of the priorities before the given one have sent requests lately. */
    private int prioritiesInUse(int before, long nowMillis) {
        int count = 0;
        for (int level = 0; level < before; level++) {
            boolean used = (prioritiesUsed & 1 << level) != 0;
            count += used && nowMillis - priorityUsedAt[level] <= PRIORITY_MEMORY_MILLIS ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the time in which the work ahead of a request is served, in ms. Engines are limited by requests or by
     * tokens; the mean of both times is taken, as it isn't known by which. The request's own size doesn't count, so
     * that a large request is rejected no sooner than a small one at its place.
     */
    long waitMillis(int requestsAhead, long tokensAhead, int priority, boolean late) {
        int level = level(priority, late);
        double byRequests = requestsAhead / left(servedRequests, level);
        double tokensLeft = left(servedTokens, level);
        // Calls of plain services have no tokens.
        double byTokens = tokensLeft < 1 ? byRequests : tokensAhead / tokensLeft;
        return (long) (measuredMillis * (byRequests + byTokens) / 2);
    }

    /** Returns what was served and not taken by more urgent requests. */
    private static double left(double[] amounts, int level) {
        double all = sum(amounts, LEVELS);
        return Math.max(all - sum(amounts, level), all * MIN_SHARE_LEFT);
    }

    private static double sum(double[] amounts, int levels) {
        double sum = 0;
        for (int level = 0; level < levels; level++) {
            sum += amounts[level];
        }
        return sum;
    }
}
