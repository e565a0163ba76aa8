package org.rattanrudder.core.routing;

import java.util.ArrayList;
import java.util.List;

/** The request rate and the holders of a frequently used context. */
final class HotContext {
    private static final double RATE_WINDOW_MICROS = 5_000_000;
    private static final double MICROS_PER_SECOND = 1_000_000;

    final long key;
    /** Generation of the target pool; a reference to the pool would keep it in memory after the document changed. */
    private final long generation;

    private final List<Holder> holders = new ArrayList<>();
    private int replicas = 1;
    private double requestsPerSecond;
    private long rateUpdatedMicros;
    private long resizedMicros;

    /** A target in the context's rendezvous order, and the time from which it has the context. */
    static final class Holder {
        static final long NOT_SENT = Long.MAX_VALUE;

        final RoutableTarget target;
        long warmAtMicros = NOT_SENT;

        Holder(RoutableTarget target) {
            this.target = target;
        }

        boolean wasSentContext() {
            return warmAtMicros != NOT_SENT;
        }
    }

    HotContext(long key, TargetPool pool, long nowMicros) {
        this.key = key;
        this.generation = pool.generation();
        this.rateUpdatedMicros = nowMicros;
        this.resizedMicros = nowMicros;
    }

    /** Returns a copy of this context for the targets of a changed document; retained targets keep their state. */
    HotContext movedToPool(TargetPool other, long nowMicros) {
        HotContext moved = new HotContext(key, other, nowMicros);
        moved.replicas = Math.min(replicas, other.targets().size());
        moved.requestsPerSecond = requestsPerSecond(nowMicros);
        for (Holder holder : holders) {
            if (holder.wasSentContext()) {
                moved.restoreHolder(holder, other);
            }
        }
        return moved;
    }

    boolean belongsTo(TargetPool other) {
        return generation == other.generation();
    }

    /** Returns the requests a second at this entry, as a decaying average over the last few seconds. */
    double requestsPerSecond(long nowMicros) {
        return requestsPerSecond * Math.exp(-(nowMicros - rateUpdatedMicros) / RATE_WINDOW_MICROS);
    }

    void recordRequest(long nowMicros) {
        requestsPerSecond = requestsPerSecond(nowMicros) + MICROS_PER_SECOND / RATE_WINDOW_MICROS;
        rateUpdatedMicros = nowMicros;
    }

    int replicas() {
        return replicas;
    }

    long resizedMicros() {
        return resizedMicros;
    }

    void resize(int count, TargetPool pool, long nowMicros) {
        replicas = Math.max(1, Math.min(count, pool.targets().size()));
        resizedMicros = nowMicros;
    }

    /** Returns the holder at this rank of the rendezvous order; null beyond the last. */
    Holder holder(int rank, TargetPool pool) {
        if (holders.size() <= rank) {
            extend(rank, pool);
        }
        return rank < holders.size() ? holders.get(rank) : null;
    }

    private void restoreHolder(Holder former, TargetPool pool) {
        for (int rank = 0; rank < replicas; rank++) {
            Holder holder = holder(rank, pool);
            if (holder != null && holder.target.name().equals(former.target.name())) {
                holder.warmAtMicros = former.warmAtMicros;
            }
        }
    }

    private void extend(int rank, TargetPool pool) {
        RendezvousOrder.Walk walk = pool.order().walk(key);
        for (int place = 0; place <= rank; place++) {
            RoutableTarget target = walk.next();
            if (target != null && place >= holders.size()) {
                holders.add(new Holder(target));
            }
        }
    }

    /** Records that a request with the context was sent to a target, which has the context after the given time. */
    void onSent(RoutableTarget target, long contextMicros, long nowMicros) {
        for (int rank = 0; rank < holders.size(); rank++) {
            Holder holder = holders.get(rank);
            if (holder.target == target) {
                holder.warmAtMicros = Math.min(holder.warmAtMicros, nowMicros + contextMicros);
                return;
            }
        }
    }
}
