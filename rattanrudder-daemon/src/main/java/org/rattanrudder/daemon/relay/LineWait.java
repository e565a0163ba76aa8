package org.rattanrudder.daemon.relay;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.HoldingQueue;

/** A request's wait in line for an engine with room: on time at first, then late, then no more. */
final class LineWait {
    private final RelayState state;
    private final RequestPlan plan;
    private final Exchange exchange;
    private final ExchangeLog log;
    private HoldingQueue.QueuedRequest<Exchange> place;
    private ScheduledFuture<?> expiry;

    LineWait(RelayState state, RequestPlan plan, Exchange exchange, ExchangeLog log) {
        this.state = state;
        this.plan = plan;
        this.exchange = exchange;
        this.log = log;
    }

    /**
     * Joins the line.
     *
     * @param letDown whether a target has let the request down: it isn't sent away for the time that it lost there
     */
    void join(boolean letDown) {
        HoldingQueue<Exchange> line = state.holdingQueue(plan.service());
        long now = state.nowMillis();
        long onTimeUntil = Math.max(now, plan.onTimeUntil());
        long lateUntil = letDown ? now + plan.route().objectiveMillis() : Math.max(now, plan.lateUntil());
        place = line.add(exchange, plan.rank(), plan.tokens(), onTimeUntil, lateUntil, plan.deadlineAt());
        long millis = Math.max(1, onTimeUntil - now);
        expiry = state.loop().schedule(() -> late(lateUntil), millis, TimeUnit.MILLISECONDS);
        log.held(line.size(), millis, state.fleet().activeTargets(plan.service(), now), now);
    }

    /** The request can't be on time any more; it may wait on for a while, behind those that can. */
    private void late(long lateUntil) {
        long millis = Math.max(1, lateUntil - state.nowMillis());
        expiry = state.loop().schedule(() -> state.expireQueue(plan.service()), millis, TimeUnit.MILLISECONDS);
        state.expireQueue(plan.service());
    }

    /** Leaves the line if it is there. */
    void leave() {
        if (place != null) {
            state.holdingQueue(plan.service()).remove(place);
            expiry.cancel(false);
            place = null;
        }
    }
}
