package org.rattanrudder.daemon.relay.store;

import java.util.Map;
import java.util.function.Consumer;
import org.rattanrudder.core.fleet.LoadReport.ReadPositions;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.targets.QueueDispatcher;

/** Follows the topics of the platform's store that say what to serve and where: the desired state, and the targets. */
public final class StoreTopics implements AutoCloseable {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final TopicFollower desiredState;
    private final TargetRegistrations registrations;
    private final TopicFollower targets;
    private final TopicConfirmation desiredStateConfirmation;
    private final TopicConfirmation targetsConfirmation;
    private final StoreProbe probe;

    /**
     * Creates followers that are idle until {@link #start}.
     *
     * @param queues is told when an evacuation has begun or ended, and when a configuration has come into force
     * @param storeWatches watches the context stores of the configuration
     * @param onConfiguration receives each configuration that has come into force
     * @param onNewWeights is run when a newer version of weights was published
     * @param onConfigurationsMissed is run when configurations may have been published that weren't read
     */
    public StoreTopics(
            RelayState state,
            QueueDispatcher queues,
            StoreWatches storeWatches,
            Consumer<ServingConfiguration> onConfiguration,
            Runnable onNewWeights,
            Runnable onConfigurationsMissed) {
        desiredState = new TopicFollower(
                state,
                Topic.DESIRED_STATE,
                PollIntervals.prompt(() -> state.settings().bounds().configurationMillis()),
                TopicFollower.InitialRead.NEWEST,
                new DesiredStateListener(
                        state, queues, storeWatches, onConfiguration, onNewWeights, onConfigurationsMissed),
                state.desiredStateRead());
        state.claimedWeights().setRead(desiredState::pollNow);
        desiredStateConfirmation =
                new TopicConfirmation(state, Topic.DESIRED_STATE, desiredState::readPosition, desiredState::pollNow);
        registrations = new TargetRegistrations(state);
        targets = new TopicFollower(
                state,
                Topic.TARGETS,
                PollIntervals.batched(() -> state.settings().bounds().drainMillis()),
                TopicFollower.InitialRead.NEWEST,
                registrations);
        targetsConfirmation = new TopicConfirmation(state, Topic.TARGETS, targets::readPosition, targets::pollNow);
        probe = new StoreProbe(state, desiredState::readPosition);
        state.metrics()
                .labelledGauge(
                        "rattanrudder_relay_topic_unread_seconds",
                        "For how long records of a topic may exist that were not read",
                        "topic",
                        this::unreadSeconds);
        state.metrics()
                .labelledGauge(
                        "rattanrudder_relay_topic_read_offset",
                        "The offset up to which a topic was read",
                        "topic",
                        this::readOffsets);
    }

    private Map<String, Double> readOffsets() {
        return Map.of(
                Topic.DESIRED_STATE.name(), (double) desiredState.readPosition().offset(),
                Topic.TARGETS.name(), (double) targets.readPosition().offset());
    }

    private Map<String, Double> unreadSeconds() {
        return Map.of(
                Topic.DESIRED_STATE.name(), desiredState.unreadMillis() / MILLIS_PER_SECOND,
                Topic.TARGETS.name(), targets.unreadMillis() / MILLIS_PER_SECOND);
    }

    /** Starts to read the topics. */
    public void start() {
        desiredState.start();
        targets.start();
        probe.start();
    }

    /** Reads from the store's new address. */
    public void reconnect() {
        desiredState.reconnect();
        targets.reconnect();
    }

    /**
     * Finds out whether all registrations of targets and all configurations that were written before this call have
     * been read.
     *
     * @param timeoutMillis how long to wait for the store, in ms
     * @param then called once
     */
    public void confirmAllRead(long timeoutMillis, Consumer<Boolean> then) {
        AllConfirmed both = new AllConfirmed(2, then);
        desiredStateConfirmation.confirm(timeoutMillis, both);
        targetsConfirmation.confirm(timeoutMillis, both);
    }

    /** Returns up to where the desired state has been read. */
    public LogPosition desiredStatePosition() {
        return desiredState.readPosition();
    }

    /** Returns up to where peers should have read the registrations of targets. */
    public LogPosition targetsChangedPosition() {
        return registrations.changedPosition();
    }

    /** Handles the positions up to which a peer has read. */
    public void onPeerPositions(ReadPositions others) {
        desiredState.onPeerPosition(others.desiredConfiguration());
        targets.onPeerPosition(others.targetsChanged());
    }

    /** Cancels confirmations; the followers end with the event loop. */
    @Override
    public void close() {
        probe.close();
        desiredStateConfirmation.close();
        targetsConfirmation.close();
    }
}
