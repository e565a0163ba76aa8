package org.rattanrudder.daemon.relay.peers;

import java.util.List;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;
import org.rattanrudder.core.fleet.LoadReport.SeenRateLimit;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Creates this relay's load reports, numbered in the order of their creation. */
final class LoadReportFactory {
    /**
     * How long a target's newly confirmed weights are reported: until its registration shows them, even if some
     * messages are lost.
     */
    private static final long SERVED_WEIGHTS_MILLIS = 2_500;

    private final RelayState state;
    private final String relayId;
    private final PeerExchange.LocalState localState;
    private long sequence;

    /**
     * Creates a factory whose first report has the number 0.
     *
     * @param relayId names this process of the relay
     */
    LoadReportFactory(RelayState state, String relayId, PeerExchange.LocalState localState) {
        this.state = state;
        this.relayId = relayId;
        this.localState = localState;
    }

    /** Returns a report of all that peers are told; its interval is 0. */
    LoadReport full(long now) {
        return new LoadReport(
                relayId,
                sequence++,
                true,
                ownLoads(),
                knownWeights(),
                servedWeights(now),
                localState.loadingTargets(),
                state.fleet().unreachableTargets(now),
                localState.acceptsConnections(),
                localState.readPositions(),
                List.of(),
                rateLimits(now),
                state.fleet().leavingTargets(now),
                state.fleet().removedTargets(now),
                state.retiredWeights().report(),
                state.versionExchange().next(state.settings().bounds().weightsMillis(), state.atMostMillis()),
                0);
    }

    /** Returns a report of the load at the given targets only. */
    LoadReport partial(List<Target> changed) {
        return LoadReport.ofTargets(
                relayId,
                sequence++,
                false,
                changed.stream().map(Target::ownLoad).toList(),
                localState.acceptsConnections(),
                localState.readPositions());
    }

    private List<TargetLoad> ownLoads() {
        return state.fleet().all(state.nowMillis()).stream()
                .filter(target ->
                        target.inFlight() > 0 && target.registration().weights().size() > 0)
                .map(Target::ownLoad)
                .toList();
    }

    private List<KnownWeights> knownWeights() {
        long now = state.atMostMillis();
        return state.weights().versions().stream()
                .map(named -> new KnownWeights(named.model(), named.version(), now - named.sinceMillis()))
                .toList();
    }

    private List<ServedWeights> servedWeights(long now) {
        return state.fleet().all(now).stream()
                .flatMap(target -> target.weightsConfirmedSince(now - SERVED_WEIGHTS_MILLIS).stream())
                .toList();
    }

    private List<SeenRateLimit> rateLimits(long now) {
        return state.fleet().all(now).stream()
                .flatMap(target -> target.rateLimitToReport(now).stream())
                .toList();
    }
}
