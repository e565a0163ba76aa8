package org.rattanrudder.core.routing;

/**
 * Sets the number of replicas of a hot context: adds one before the holders are full and removes one when they are
 * idle.
 *
 * <p>The decision uses the utilization that companions report, which covers the work of all entries. All entries so
 * arrive at about the same number without communicating with each other.
 */
final class ReplicaController {
    /** A replica is added when the holders' mean utilization exceeds this. */
    static final double GROW_ABOVE_UTILIZATION = 0.7;

    /** A replica is removed only if the utilization of the remaining holders would be below this. */
    static final double SHRINK_BELOW_UTILIZATION = 0.45;

    private static final long MIN_GROW_INTERVAL_MICROS = 250_000;
    private static final long MIN_SHRINK_INTERVAL_MICROS = 5_000_000;
    private static final double MIN_LOAD_SHARE = 0.05;
    /** The utilization of a further holder must be below this share of the present holders' utilization. */
    private static final double MAX_NEXT_HOLDER_LOAD_RATIO = 0.6;

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final int GROWTH_DIVISOR = 4;
    private static final int MAX_SAMPLED_HOLDERS = 64;

    void adjust(HotContext context, TargetPool pool, long nowMicros) {
        long sinceResizeMicros = nowMicros - context.resizedMicros();
        if (sinceResizeMicros < MIN_GROW_INTERVAL_MICROS) {
            return;
        }
        int replicas = context.replicas();
        double utilization = utilization(context, pool, nowMicros);
        if (utilization > GROW_ABOVE_UTILIZATION
                && causesLoad(context, pool, nowMicros)
                && wouldReduceLoad(context, pool, utilization, nowMicros)) {
            context.resize(replicas + Math.max(1, replicas / GROWTH_DIVISOR), pool, nowMicros);
            return;
        }
        boolean idle = replicas > 1 && utilization * replicas / (replicas - 1) < SHRINK_BELOW_UTILIZATION;
        if (idle && sinceResizeMicros >= MIN_SHRINK_INTERVAL_MICROS) {
            context.resize(replicas - 1, pool, nowMicros);
        }
    }

    /**
     * Returns whether the next holder is less busy than the present ones. When all targets are full, each copy of a
     * context evicts another context, which then has to be recomputed; targets would do nothing else and not recover.
     */
    private static boolean wouldReduceLoad(HotContext context, TargetPool pool, double utilization, long nowMicros) {
        HotContext.Holder next = context.holder(context.replicas(), pool);
        return next != null
                && next.target.isEligible(nowMicros)
                && next.target.reportedUtilization() < utilization * MAX_NEXT_HOLDER_LOAD_RATIO;
    }

    private static double utilization(HotContext context, TargetPool pool, long nowMicros) {
        double sum = 0;
        int eligible = 0;
        for (int rank = 0; rank < Math.min(MAX_SAMPLED_HOLDERS, context.replicas()); rank++) {
            HotContext.Holder holder = context.holder(rank, pool);
            if (holder != null && holder.target.isEligible(nowMicros)) {
                sum += holder.target.reportedUtilization();
                eligible++;
            }
        }
        return eligible == 0 ? 0 : sum / eligible;
    }

    /**
     * Returns whether the context causes a relevant share of its holders' load. Replicating one that doesn't would take
     * up cache space and relieve no holder.
     */
    private static boolean causesLoad(HotContext context, TargetPool pool, long nowMicros) {
        double busySlots = context.requestsPerSecond(nowMicros) * pool.serviceMicros() / MICROS_PER_SECOND;
        HotContext.Holder first = context.holder(0, pool);
        double slots = (double) context.replicas() * first.target.settings().concurrency();
        return busySlots / slots >= MIN_LOAD_SHARE;
    }
}
