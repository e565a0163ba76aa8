package org.rattanrudder.daemon.relay.targets;

import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Dispatches queued requests to targets that have become reachable again. */
final class ReachabilityHandler implements TargetPools.ReachabilityListener {
    private final RelayState state;
    private final QueueDispatcher queues;

    /** Creates a handler for the targets of the fleet. */
    ReachabilityHandler(RelayState state, QueueDispatcher queues) {
        this.state = state;
        this.queues = queues;
    }

    @Override
    public boolean isKnown(Target target) {
        return state.fleet().find(target.id()).filter(target::equals).isPresent();
    }

    @Override
    public void onReachable(Target target) {
        state.log().info("target_reached_again", "target", target.id());
        queues.dispatchQueued(target.registration().service());
    }
}
