package org.rattanrudder.daemon.relay.serving;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Queues a request until an engine has room: first as on time, then as late, until it expires. */
final class QueueWait {
    private final RelayState state;
    private final HoldingQueues queues;
    private final RequestPlan plan;
    private final Exchange exchange;
    private final ExchangeLog log;
    private HoldingQueue.QueuedRequest<Exchange> queued;
    private ScheduledFuture<?> expiry;

    QueueWait(ServingComponents components, RequestPlan plan, Exchange exchange, ExchangeLog log) {
        state = components.state();
        queues = components.queues();
        this.plan = plan;
        this.exchange = exchange;
        this.log = log;
    }

    /**
     * Adds the request to the queue, or rejects it if its turn would come too late.
     *
     * @param hasFailedAttempt whether a target has failed the request: the time lost there doesn't count against its
     *     late wait
     */
    void join(boolean hasFailedAttempt) {
        long now = state.nowMillis();
        long lateUntil = plan.lateUntil(hasFailedAttempt, now);
        Optional<QueueRejection.Rejection> rejection =
                exchange.mayBeRejectedEarly() ? queues.rejection().onArrival(plan, lateUntil, log) : Optional.empty();
        if (rejection.isPresent()) {
            exchange.refuseUntil(QueueRejection.REASON, rejection.get().retryAfterMillis());
        } else {
            join(lateUntil, now);
        }
    }

    private void join(long lateUntil, long now) {
        HoldingQueue<Exchange> queue = queues.holdingQueue(plan.service());
        long onTimeUntil = Math.max(now, plan.onTimeUntil());
        queued = queue.add(exchange, plan.priority(), plan.tokens(), onTimeUntil, lateUntil, plan.deadlineAt());
        long millis = Math.max(1, onTimeUntil - now);
        expiry = state.loop().schedule(() -> onLate(lateUntil), millis, TimeUnit.MILLISECONDS);
        log.queued(queue.size(), millis, state.fleet().usableTargets(plan.service(), now), now);
        queues.rejection().onQueueChanged(plan.service());
    }

    /** Removes the request from the queue, if it is queued, since it is sent. */
    void leaveToBeSent() {
        boolean late = queued != null && queues.holdingQueue(plan.service()).isLate(queued);
        queues.rejection().onServed(plan, late);
        leave();
    }

    /** Handles the point from which the request can't be on time; it may stay queued behind those that can. */
    private void onLate(long lateUntil) {
        long millis = Math.max(1, lateUntil - state.nowMillis());
        expiry = state.loop().schedule(() -> queues.expireQueue(plan.service()), millis, TimeUnit.MILLISECONDS);
        queues.expireQueue(plan.service());
    }

    /** Removes the request from the queue if it is queued. */
    void leave() {
        if (queued != null) {
            queues.holdingQueue(plan.service()).remove(queued);
            expiry.cancel(false);
            queued = null;
            queues.rejection().onQueueChanged(plan.service());
        }
    }
}
