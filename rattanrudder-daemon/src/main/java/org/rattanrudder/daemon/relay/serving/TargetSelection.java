package org.rattanrudder.daemon.relay.serving;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.fleet.Placement;
import org.rattanrudder.core.fleet.SendWindow;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetAdmission;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Selects the target of a request's next attempt. */
final class TargetSelection {
    private final RelayState state;
    private final HoldingQueues queues;
    private final RequestPlan plan;
    private final AttemptHistory history;

    TargetSelection(ServingComponents components, RequestPlan plan, AttemptHistory history) {
        state = components.state();
        queues = components.queues();
        this.plan = plan;
        this.history = history;
    }

    /** Returns whether any target may run the request. */
    boolean hasCandidate() {
        return !plan.candidates(state.nowMillis()).isEmpty();
    }

    /**
     * Returns whether a target is left that hasn't been tried: retrying a target that has just rejected the request is
     * of no use.
     */
    boolean hasUntried() {
        return !history.untried(plan.candidates(state.nowMillis())).isEmpty();
    }

    /**
     * Selects a target that has room and hasn't been tried. If none may be sent the request now, the queue is looked at
     * again once one may.
     */
    Optional<Placement.Choice> selectWithRoom() {
        long now = state.nowMillis();
        boolean late = now > plan.onTimeUntil();
        TargetAdmission.Admitted admitted = plan.admitted(plan.candidates(now), now);
        List<Target> open = history.untried(plan.engine()
                .map(engine -> SendWindow.targetsWithRoom(admitted.targets(), engine, plan.tokens(), late, now))
                .orElse(admitted.targets()));
        Optional<Placement.Choice> choice = choose(open, now);
        if (choice.isEmpty()) {
            admitted.deferral().ifPresent(deferral -> queues.dispatchWhenAdmitted(plan.service(), deferral));
        }
        return choice;
    }

    /** Selects a target whether or not it has room. */
    Optional<Placement.Choice> selectAny() {
        long now = state.nowMillis();
        List<Target> admitted = plan.admitted(plan.candidates(now), now).targets();
        return choose(admitted, now);
    }

    private Optional<Placement.Choice> choose(List<Target> targets, long now) {
        return Placement.choose(targets, plan.query(history.triedTargets(), now), now, state.random()::nextBoolean);
    }
}
