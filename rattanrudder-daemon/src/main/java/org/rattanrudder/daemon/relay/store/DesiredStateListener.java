package org.rattanrudder.daemon.relay.store;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.rollout.DesiredVersions;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.DesiredState;
import org.rattanrudder.daemon.relay.port.WeightsVersion;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.targets.QueueDispatcher;

/** Handles the configuration, the weights and the evacuations that operators have published. */
final class DesiredStateListener implements TopicListener {
    private final RelayState state;
    private final QueueDispatcher queues;
    private final StoreWatches storeWatches;
    private final Consumer<ServingConfiguration> onConfiguration;
    private final Runnable onNewWeights;
    private final Runnable onConfigurationsMissed;

    /** Whether all records from before this relay's start have been read. */
    private boolean caughtUp;

    /** Whether all records that were there were read at some time. */
    private boolean readOnce;

    private Optional<FoundConfiguration> found = Optional.empty();

    /** The evacuations in the last listing, until those that it lacks have ended. */
    private Optional<ListedEvacuations> listedEvacuations = Optional.empty();

    private Moment askedAt = new Moment(0, 0);
    private long unreadMillis;

    /** A configuration that was found before all records were read, and the position of its record. */
    private record FoundConfiguration(ServingConfiguration configuration, LogPosition position) {}

    /** The failure domains that a listing says are evacuated, and where it ends. */
    private record ListedEvacuations(Set<String> domains, LogPosition end) {}

    /**
     * Creates a listener that has handled no record.
     *
     * @param queues is told when an evacuation has begun or ended, and when a configuration has come into force
     * @param storeWatches watches the context stores of the configuration
     * @param onConfiguration receives each configuration that has come into force
     * @param onNewWeights is run when a newer version of weights was published
     * @param onConfigurationsMissed is run when configurations may have been published that weren't read
     */
    DesiredStateListener(
            RelayState state,
            QueueDispatcher queues,
            StoreWatches storeWatches,
            Consumer<ServingConfiguration> onConfiguration,
            Runnable onNewWeights,
            Runnable onConfigurationsMissed) {
        this.state = state;
        this.queues = queues;
        this.storeWatches = storeWatches;
        this.onConfiguration = onConfiguration;
        this.onNewWeights = onNewWeights;
        this.onConfigurationsMissed = onConfigurationsMissed;
    }

    @Override
    public void onRecord(KeyedRecord record) {
        StoreDialect store = state.platform().store();
        store.readDesiredState(record).ifPresent(desired -> {
            if (desired instanceof DesiredState.DesiredConfiguration configured) {
                onDesiredConfiguration(configured.configuration(), record.position());
            } else if (desired instanceof DesiredState.DesiredWeights weights) {
                onDesiredWeights(weights.weights(), record.position());
            } else if (desired instanceof DesiredState.DesiredEvacuation evacuation) {
                onDesiredEvacuation(evacuation, record.position());
            }
        });
    }

    /**
     * Applies a configuration, at the relay's start only once all records were read: it lets requests be served, and
     * the weights on which they may begin may stand in another page of the listing.
     */
    private void onDesiredConfiguration(ServingConfiguration configuration, LogPosition position) {
        if (!readOnce) {
            state.log()
                    .info(
                            "configuration_held_back",
                            "version",
                            Long.toString(configuration.version()),
                            "position",
                            position.toString());
            boolean older = found.filter(known -> known.configuration().version() >= configuration.version())
                    .isPresent();
            found = older ? found : Optional.of(new FoundConfiguration(configuration, position));
            return;
        }
        if (!state.updateConfiguration(configuration)) {
            logNotNewer(configuration, position);
            return;
        }
        onConfiguration.accept(configuration);
        state.log()
                .info(
                        "configured",
                        "version",
                        Long.toString(configuration.version()),
                        "position",
                        position.toString(),
                        "asked_ms",
                        Long.toString(state.atMostMillis() - askedAt.atMostMillis()),
                        "unread_ms",
                        Long.toString(unreadMillis),
                        "services",
                        Integer.toString(configuration.services().size()),
                        "stores",
                        Integer.toString(configuration.stores().size()));
        storeWatches.update(configuration.stores());
        // Others wait behind a queued request that no target may run any more.
        queues.onUsableTargetsChanged();
    }

    private void logNotNewer(ServingConfiguration configuration, LogPosition position) {
        state.log()
                .info(
                        "configuration_not_newer",
                        "version",
                        Long.toString(configuration.version()),
                        "in_force",
                        state.configuration()
                                .map(known -> Long.toString(known.version()))
                                .orElse("none"),
                        "position",
                        position.toString());
    }

    private void onDesiredEvacuation(DesiredState.DesiredEvacuation desired, LogPosition position) {
        String domain = desired.failureDomain();
        if (state.fleet().evacuations().apply(domain, desired.evacuated(), position, state.nowMillis())) {
            onEvacuationChanged(domain, position);
        }
    }

    private void onEvacuationChanged(String domain, LogPosition position) {
        state.log()
                .info(
                        "evacuation_changed",
                        "domain",
                        domain,
                        "evacuated",
                        Boolean.toString(state.fleet().evacuations().isEvacuated(domain)),
                        "position",
                        position.toString(),
                        "targets",
                        Long.toString(state.fleet().all(state.nowMillis()).stream()
                                .filter(target ->
                                        target.registration().failureDomain().equals(domain))
                                .count()));
        queues.onUsableTargetsChanged();
    }

    private void onDesiredWeights(WeightsVersion weights, LogPosition position) {
        boolean isNew = state.weights().add(weights.model(), weights.version(), state.atMostMillis());
        if (isNew) {
            onNewWeights.run();
            state.log()
                    .info(
                            "weights_named",
                            "model",
                            weights.model(),
                            "version",
                            Long.toString(weights.version()),
                            "position",
                            position.toString(),
                            "before_start",
                            Boolean.toString(!caughtUp));
        }
    }

    @Override
    public void onRecordsRead(Moment recordsAskedAt, long notReadForMillis) {
        askedAt = recordsAskedAt;
        unreadMillis = notReadForMillis;
        long boundMillis = state.settings().bounds().configurationMillis();
        if (readOnce && notReadForMillis > boundMillis) {
            state.log()
                    .warn(
                            "configuration_unproven",
                            "unread_ms",
                            Long.toString(notReadForMillis),
                            "bound_ms",
                            Long.toString(boundMillis));
        }
    }

    /** An older record of the same key would have no effect: versions and the positions of evacuations increase. */
    @Override
    public boolean needsOnlyNewest() {
        return true;
    }

    @Override
    public void onSuperseded(KeyedRecord record) {
        onConfigurationsMissed.run();
    }

    @Override
    public void onReadToEnd(Moment askedAt) {
        readOnce = true;
        found.ifPresent(first -> onDesiredConfiguration(first.configuration(), first.position()));
        found = Optional.empty();
    }

    @Override
    public void onCurrent(Moment askedAt) {
        endUnlistedEvacuations();
        state.weights().onReadToEnd(askedAt.atMostMillis());
        state.retiredWeights().onLogRead(askedAt.atMostMillis());
    }

    @Override
    public void onListed(Set<String> keys, LogPosition end) {
        onConfigurationsMissed.run();
        if (!caughtUp) {
            DesiredVersions versions = state.weights();
            state.retiredWeights()
                    .onStarted(versions.onlyModel().map(versions::newest).orElse(0L));
        }
        caughtUp = true;
        listedEvacuations =
                Optional.of(new ListedEvacuations(state.platform().store().evacuatedDomains(keys), end));
    }

    /** What an older copy of the store lacks may be written again: an evacuation ends once there was time for it. */
    private void endUnlistedEvacuations() {
        listedEvacuations.ifPresent(listed -> state.fleet()
                .evacuations()
                .applyListing(listed.domains(), listed.end(), state.nowMillis())
                .forEach(domain -> onEvacuationChanged(domain, listed.end())));
        listedEvacuations = Optional.empty();
    }
}
