package org.rattanrudder.daemon.relay.serving;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.gateway.RetryPolicy;

/** Records at which targets one request was placed, and how many of its attempts may have run. */
final class AttemptHistory {
    private final Set<String> triedTargets = new HashSet<>();
    private int possibleRuns;
    private int unexecutedSends;
    private boolean sent;

    /** Records that the request was placed at a target. */
    void onPlaced(Target target) {
        triedTargets.add(target.id());
    }

    /** Records that the request was sent; returns whether it was the first time. */
    boolean onSent() {
        boolean first = !sent;
        sent = true;
        return first;
    }

    /** Records how an attempt ended without a response to forward. */
    void onFailed(AttemptOutcome outcome) {
        if (outcome.mayHaveRun()) {
            possibleRuns++;
        } else {
            unexecutedSends++;
        }
    }

    /** Returns the ids of the targets at which it was placed. */
    Set<String> triedTargets() {
        return Collections.unmodifiableSet(triedTargets);
    }

    /** Returns those of the targets at which it wasn't placed. */
    List<Target> untried(List<Target> targets) {
        return targets.stream()
                .filter(target -> !triedTargets.contains(target.id()))
                .toList();
    }

    /** Returns whether it was sent to any target. */
    boolean isSent() {
        return sent;
    }

    /** Returns whether a failed attempt may have run it. */
    boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns how many failed attempts may have run it. */
    int possibleRuns() {
        return possibleRuns;
    }

    /** Returns how many failed attempts certainly didn't run it. */
    int unexecutedSends() {
        return unexecutedSends;
    }

    /**
     * Returns where the request stands, for the decision on another attempt.
     *
     * @param running attempts that run now
     */
    RetryPolicy.Progress progress(RequestPlan plan, ResponseForwarder forwarder, int running) {
        return new RetryPolicy.Progress(
                plan.route(),
                possibleRuns() + running,
                unexecutedSends(),
                forwarder.hasBegun(),
                forwarder.isResumable() && plan.binding().isContinuable(),
                plan.remainingMillis());
    }
}
