package org.rattanrudder.daemon.relay.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.core.fleet.TargetAdmission;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.targets.QueueDispatcher;

/** Holds the queues of requests that wait for a target, one for each service, and dispatches them. */
public final class HoldingQueues implements QueueDispatcher {
    /** How soon queued requests are dispatched again if only the limits of targets keep them. */
    private static final long ADMISSION_DISPATCH_MILLIS = 50;

    private final RelayState state;
    private final QueueRejection rejection;
    private final Map<String, HoldingQueue<Exchange>> holdingQueues = new HashMap<>();
    private final Set<String> scheduledDispatches = new HashSet<>();
    private final Set<String> admissionDispatches = new HashSet<>();

    /** Creates queues that are empty. */
    public HoldingQueues(RelayState state) {
        this.state = state;
        rejection = new QueueRejection(state, this);
    }

    /** Returns what rejects requests early whose turn in their service's queue comes too late. */
    QueueRejection rejection() {
        return rejection;
    }

    /** Returns the queue of a service's requests that wait for an engine. */
    HoldingQueue<Exchange> holdingQueue(String service) {
        return holdingQueues.computeIfAbsent(service, unseen -> new HoldingQueue<>());
    }

    /** Moves requests that will miss their deadline behind the others, and refuses those that would wait too long. */
    void expireQueue(String service) {
        HoldingQueue<Exchange> queue = holdingQueue(service);
        long now = state.nowMillis();
        long allowed = HoldingQueue.maxLateTokens(
                state.fleet().usableTargets(service, now).size(),
                state.relayCount(now),
                state.fleet().capacity(service),
                engine(service),
                now);
        queue.expire(now, allowed).forEach(refused -> rejection.refuseExpired(refused.request()));
        dispatchQueued(service);
    }

    private Optional<EngineTraits> engine(String service) {
        return state.configuration()
                .flatMap(known -> Optional.ofNullable(known.services().get(service)))
                .flatMap(BackendService::engine);
    }

    @Override
    public void onUsableTargetsChanged() {
        // A rejected caller's next request may be the first that waits for another service.
        for (String service : Set.copyOf(holdingQueues.keySet())) {
            holdingQueue(service)
                    .removeIf(exchange -> !exchange.hasCandidate())
                    .forEach(exchange -> exchange.refuse(exchange.plan().noTargetError(), "no target"));
            dispatchQueued(service);
        }
    }

    /** Refuses requests that haven't run and may still run when the process ends, before it is their turn. */
    void refuseForStop() {
        for (String service : Set.copyOf(holdingQueues.keySet())) {
            holdingQueue(service).removeIf(Exchange::mayOutliveProcess).forEach(Exchange::refuseForStop);
            dispatchQueued(service);
        }
    }

    /**
     * Dispatches a service's queued requests once a target that is limited may take another one.
     *
     * @param deferral what keeps them
     */
    void dispatchWhenAdmitted(String service, TargetAdmission.Deferral deferral) {
        state.metrics().recordDeferred(service, deferral);
        if (admissionDispatches.add(service)) {
            state.loop()
                    .schedule(
                            () -> {
                                admissionDispatches.remove(service);
                                dispatchQueued(service);
                            },
                            ADMISSION_DISPATCH_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void dispatchQueued(String service) {
        HoldingQueue<Exchange> queue = holdingQueue(service);
        if (queue.size() == 0 || !scheduledDispatches.add(service)) {
            return;
        }
        state.loop().execute(() -> {
            scheduledDispatches.remove(service);
            queue.dispatch(Exchange::tryPlace, Exchange::isBound);
        });
    }
}
