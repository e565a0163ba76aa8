package org.rattanrudder.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanrudder.core.fleet.LoadReport.ReadOffsets;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.rollout.DesiredVersions;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.Closer;
import org.rattanrudder.daemon.loop.MonotonicClock;
import org.rattanrudder.daemon.loop.RunningProcess;
import org.rattanrudder.daemon.relay.net.RelayChannels;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.peers.FetchLatenessRecorder;
import org.rattanrudder.daemon.relay.peers.PeerExchange;
import org.rattanrudder.daemon.relay.peers.PlacementBroadcaster;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.DesiredState;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.WeightsVersion;
import org.rattanrudder.daemon.relay.process.GracefulShutdown;
import org.rattanrudder.daemon.relay.process.RelayMetrics;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.process.StatusServer;
import org.rattanrudder.daemon.relay.quarantine.QuarantineExchange;
import org.rattanrudder.daemon.relay.rollout.RolloutCoordinator;
import org.rattanrudder.daemon.relay.serving.CallerServer;
import org.rattanrudder.daemon.relay.serving.HoldingQueues;
import org.rattanrudder.daemon.relay.serving.ServingComponents;
import org.rattanrudder.daemon.relay.store.OutdatedPartEvictor;
import org.rattanrudder.daemon.relay.store.PollIntervals;
import org.rattanrudder.daemon.relay.store.StoreWatch;
import org.rattanrudder.daemon.relay.store.TargetRegistrations;
import org.rattanrudder.daemon.relay.store.TopicConfirmation;
import org.rattanrudder.daemon.relay.store.TopicFollower;
import org.rattanrudder.daemon.relay.store.TopicFollower.InitialRead;
import org.rattanrudder.daemon.relay.streams.SoleSoftware;
import org.rattanrudder.daemon.relay.streams.StreamOriginExchange;
import org.rattanrudder.daemon.relay.targets.CapacityGauges;
import org.rattanrudder.daemon.relay.targets.RateLimitLog;
import org.rattanrudder.daemon.relay.targets.SelfReports;
import org.rattanrudder.daemon.relay.targets.TargetPools;
import org.rattanrudder.daemon.relay.targets.WarmUpLog;
import org.rattanrudder.document.RelaySettings;

/**
 * Runs a relay: wires its components, listens for callers and handles shutdown.
 *
 * <pre>{@code
 * try (RelayProcess relay = new RelayProcess(settings, adapter, RandomGenerator.getDefault())) {
 *     relay.drain();
 * }
 * }</pre>
 */
public final class RelayProcess implements RunningProcess {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Closer closer = new Closer();
    private final RelayState state;
    private final TargetPools pools;
    private final HoldingQueues queues;
    private final SelfReports selfReports;
    private final StreamOriginExchange streamOrigins;
    private final SoleSoftware soleSoftware;
    private final String incarnation;
    private final TopicFollower desiredState;
    private final TopicFollower targetTopic;
    private final TargetRegistrations targetRegistrations;
    private final PeerExchange peers;
    private final RolloutCoordinator rollouts;
    private final QuarantineExchange quarantine;
    private final EventLoop loop;
    private final CallerServer callers;
    private final Map<Address, StoreWatch> storeWatches = new HashMap<>();
    private final Channel callerListener;
    private final OutdatedPartEvictor partEvictor;
    private final GracefulShutdown shutdown;
    private final WarmUpLog warmUpLog;
    private final RateLimitLog rateLimitLog;

    /**
     * Starts a relay.
     *
     * @throws IOException if it can't listen on one of its addresses
     */
    public RelayProcess(RelaySettings settings, PlatformAdapter platform, RandomGenerator random) throws IOException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        closer.add(() -> group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS));
        loop = (EventLoop) group.next();
        EventLog log = new EventLog(Logger.getLogger(RelayProcess.class), new MonotonicClock());
        state = new RelayState(
                settings, platform, loop, RelayChannels.connector(group), log, new RelayMetrics(), random);
        pools = new TargetPools(
                state.connector(), loop, platform.requests(), state::nowMillis, new ReachabilityHandler());
        queues = new HoldingQueues(state);
        selfReports = new SelfReports(state, queues);
        streamOrigins = new StreamOriginExchange(state, settings.instance());
        soleSoftware = new SoleSoftware(state);
        quarantine = new QuarantineExchange(state, pools::probe);
        PlacementBroadcaster placements = new PlacementBroadcaster(loop);
        FetchLatenessRecorder fetchLateness = new FetchLatenessRecorder();
        callers = new CallerServer(new ServingComponents(
                state, pools, queues, selfReports, streamOrigins, soleSoftware, quarantine, placements, fetchLateness));
        partEvictor = new OutdatedPartEvictor(state, storeWatches);
        warmUpLog = new WarmUpLog(state);
        rateLimitLog = new RateLimitLog(state);
        shutdown = new GracefulShutdown(state, callers::isBusy, callers::onShutdown, this::sweep);
        registerGauges();
        callerListener = listen(group, settings.callers(), callers.channels());
        listen(group, settings.readiness(), new StatusServer(this::readiness));
        listen(group, settings.metrics(), new StatusServer(this::metrics));
        incarnation = settings.instance() + "-" + Long.toHexString(random.nextLong());
        desiredState = new TopicFollower(
                state, Topic.WISHES, PollIntervals.PROMPT, InitialRead.NEWEST, new DesiredStateListener());
        targetRegistrations = new TargetRegistrations(state);
        targetTopic = new TopicFollower(
                state,
                Topic.TARGETS,
                PollIntervals.batched(() -> state.settings().bounds().drainMillis()),
                InitialRead.NEWEST,
                targetRegistrations);
        TopicConfirmation confirmation =
                closer.add(new TopicConfirmation(state, Topic.TARGETS, targetTopic::readOffset, targetTopic::pollNow));
        soleSoftware.setConfirmation(confirmation::confirm);
        rollouts = new RolloutCoordinator(state, selfReports, incarnation);
        closer.add(quarantine);
        peers = closer.add(new PeerExchange(
                state,
                new Bootstrap().group(group),
                incarnation,
                new PeerExchange.Components(placements, fetchLateness, streamOrigins, selfReports, queues),
                new LocalState(),
                new PeerListener()));
        loop.execute(this::startComponents);
    }

    private Channel listen(EventLoopGroup group, Address address, ChannelInitializer<Channel> channels)
            throws IOException {
        try {
            Channel listening = RelayChannels.listen(group, address, channels);
            closer.add(listening::close);
            return listening;
        } catch (RuntimeException failed) {
            close();
            throw new IOException("can't listen on " + address + ": " + failed.getMessage(), failed);
        }
    }

    private void startComponents() {
        desiredState.start();
        targetTopic.start();
        peers.start();
        rollouts.start();
        quarantine.start();
        closer.add(new StepTimer(loop)).every(this::sweep, RelayState.SWEEP_INTERVAL_MILLIS);
    }

    /** Provides the local state that is sent to peers. */
    private final class LocalState implements PeerExchange.LocalState {
        @Override
        public List<String> loadingTargets() {
            return rollouts.loadingTargets();
        }

        @Override
        public boolean acceptsConnections() {
            return isReady();
        }

        @Override
        public ReadOffsets readOffsets() {
            return new ReadOffsets(
                    desiredState.readOffset(), targetRegistrations.changedOffset(), quarantine.readOffset());
        }
    }

    /** Handles messages of peers. */
    private final class PeerListener implements PeerExchange.Listener {
        @Override
        public void onStoreUpdate(SharedStoreUpdate update) {
            StoreWatch watch = storeWatches.get(update.store());
            if (watch != null) {
                watch.onSharedUpdate(update);
            }
        }

        @Override
        public void onReadOffsets(ReadOffsets others) {
            desiredState.onPeerOffset(others.desiredConfiguration());
            targetTopic.onPeerOffset(others.targetsChanged());
            quarantine.onPeerOffset(others.quarantine());
        }

        @Override
        public void onUnreachable(List<String> unreachable) {
            unreachable.forEach(id -> state.fleet().find(id).ifPresent(pools::verify));
        }
    }

    /** Handles targets that have become reachable again. */
    private final class ReachabilityHandler implements TargetPools.ReachabilityListener {
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

    /** Handles the configuration and the weights that operators have published. */
    private final class DesiredStateListener implements TopicFollower.Listener {
        /** Whether all records from before this relay's start have been read. */
        private boolean caughtUp;

        @Override
        public void onRecord(KeyedRecord record) {
            StoreDialect store = state.platform().store();
            store.readDesiredState(record).ifPresent(desired -> {
                if (desired instanceof DesiredState.DesiredConfiguration configured) {
                    onConfiguration(configured, record.offset());
                } else if (desired instanceof DesiredState.DesiredWeights weights) {
                    onDesiredWeights(weights.weights(), record.offset());
                } else if (desired instanceof DesiredState.DesiredEvacuation evacuation) {
                    onDesiredEvacuation(evacuation, record.offset());
                }
            });
        }

        private void onDesiredEvacuation(DesiredState.DesiredEvacuation desired, long offset) {
            String domain = desired.failureDomain();
            if (state.fleet().evacuations().apply(domain, desired.evacuated(), offset, state.nowMillis())) {
                onEvacuationChanged(domain, offset);
            }
        }

        private void onEvacuationChanged(String domain, long offset) {
            state.log()
                    .info(
                            "evacuation_changed",
                            "domain",
                            domain,
                            "evacuated",
                            Boolean.toString(state.fleet().evacuations().isEvacuated(domain)),
                            "offset",
                            Long.toString(offset),
                            "targets",
                            Long.toString(state.fleet().all(state.nowMillis()).stream()
                                    .filter(target -> target.registration()
                                            .failureDomain()
                                            .equals(domain))
                                    .count()));
            queues.onUsableTargetsChanged();
        }

        private void onDesiredWeights(WeightsVersion weights, long offset) {
            DesiredVersions versions = state.weights();
            boolean isNew = caughtUp
                    ? versions.addDesired(weights.model(), weights.version(), state.nowMillis())
                    : versions.addFoundAtStart(weights.model(), weights.version());
            if (isNew) {
                rollouts.pollNow();
                state.log()
                        .info(
                                "weights_named",
                                "model",
                                weights.model(),
                                "version",
                                Long.toString(weights.version()),
                                "offset",
                                Long.toString(offset),
                                "before_start",
                                Boolean.toString(!caughtUp));
            }
        }

        /** An older record of the same key would have no effect: versions and the offsets of evacuations increase. */
        @Override
        public boolean needsOnlyNewest() {
            return true;
        }

        @Override
        public void onListed(Set<String> keys, long end) {
            caughtUp = true;
            Set<String> evacuated = state.platform().store().evacuatedDomains(keys);
            state.fleet()
                    .evacuations()
                    .applyListing(evacuated, end, state.nowMillis())
                    .forEach(domain -> onEvacuationChanged(domain, end));
        }
    }

    private void onConfiguration(DesiredState.DesiredConfiguration configured, long offset) {
        if (!state.updateConfiguration(configured.configuration())) {
            return;
        }
        soleSoftware.onConfiguration(configured.configuration());
        state.log()
                .info(
                        "configured",
                        "version",
                        Long.toString(configured.configuration().version()),
                        "offset",
                        Long.toString(offset),
                        "services",
                        Integer.toString(configured.configuration().services().size()),
                        "stores",
                        Integer.toString(configured.configuration().stores().size()));
        watchStores(configured.configuration().stores());
    }

    private void watchStores(List<ContextStore> configured) {
        Set<Address> wanted = configured.stream().map(ContextStore::address).collect(Collectors.toSet());
        for (Address removed : List.copyOf(storeWatches.keySet())) {
            if (!wanted.contains(removed)) {
                storeWatches.remove(removed).close();
            }
        }
        for (Address address : wanted) {
            if (!storeWatches.containsKey(address)) {
                StoreWatch watch = new StoreWatch(state, selfReports, incarnation, address, peers::broadcast);
                storeWatches.put(address, watch);
                watch.start();
            }
        }
    }

    private void sweep() {
        long now = state.nowMillis();
        state.eventLoopLag().onTaskRun(now);
        boolean closeIdle = state.isRefusingRequests();
        if (closeIdle && callerListener.isOpen()) {
            callerListener.close();
        }
        // If the event loop is late, callers' data may be unread and their connections only seem idle. During shutdown
        // there is no time to wait for that.
        if (closeIdle || !state.eventLoopLag().isLate(now)) {
            callers.sweep(now, closeIdle);
        }
        pools.sweep(Set.copyOf(state.fleet().all(now)), now);
        warmUpLog.update(now);
        rateLimitLog.update(now);
        partEvictor.free(now);
        quarantine.sweep();
        shutdown.checkFinished(now);
    }

    private StatusServer.Page readiness(String path) {
        boolean ready = isReady();
        byte[] text = (ready ? "ready\n" : "not ready\n").getBytes(StandardCharsets.UTF_8);
        return new StatusServer.Page(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, text);
    }

    private boolean isReady() {
        return state.configuration().isPresent()
                && !state.isDraining()
                && !state.fleet().all(state.nowMillis()).isEmpty();
    }

    private StatusServer.Page metrics(String path) {
        return new StatusServer.Page(HttpResponseStatus.OK, state.metrics().text());
    }

    private void registerGauges() {
        new CapacityGauges(state).register();
        state.metrics()
                .gauge(
                        "rattanrudder_relay_domains_evacuated",
                        "Failure domains whose targets get no requests",
                        () -> state.fleet().evacuations().evacuated().size());
        state.metrics().gauge("rattanrudder_relay_targets_warming", "Targets that are warming up", warmUpLog::warming);
        state.metrics()
                .gauge(
                        "rattanrudder_relay_targets_rate_limited",
                        "Targets that have named a rate limit",
                        rateLimitLog::limited);
        state.metrics()
                .gauge(
                        "rattanrudder_relay_targets_leaving",
                        "Targets that leave, by their records, their responses or peers",
                        selfReports::leavingTargets);
        state.metrics().gauge("rattanrudder_relay_connections", "Callers' connections", callers::size);
        state.metrics()
                .gauge(
                        "rattanrudder_relay_configuration",
                        "The version of the configuration in force",
                        () -> state.configuration()
                                .map(configuration -> (double) configuration.version())
                                .orElse(0.0));
        state.metrics()
                .gauge(
                        "rattanrudder_relay_stream_origins",
                        "Streams whose software is known, should their callers resume them",
                        () -> streamOrigins.size());
        state.metrics()
                .gauge(
                        "rattanrudder_relay_targets",
                        "Targets that are known",
                        () -> state.fleet().all(state.nowMillis()).size());
        state.metrics()
                .gauge(
                        "rattanrudder_relay_requests_suspected",
                        "Requests that were at a target when it ended",
                        () -> state.quarantine().suspectCount());
        state.metrics()
                .gauge(
                        "rattanrudder_relay_requests_quarantined",
                        "Requests that are sent to no target, since several ended under them",
                        () -> state.quarantine().quarantinedCount());
        double startedAt = System.currentTimeMillis() / MILLIS_PER_SECOND;
        state.metrics()
                .gauge(
                        "rattanrudder_relay_started_seconds",
                        "When the process started, in Unix seconds",
                        () -> startedAt);
        state.metrics()
                .gauge(
                        "rattanrudder_relay_stopping",
                        "1 once the process was asked to stop",
                        () -> state.isStopping() ? 1 : 0);
    }

    /** Applies those reloaded settings that may change while a relay runs. */
    public void applySettings(RelaySettings read) {
        loop.execute(() -> {
            Address before = state.store();
            state.applySettings(read);
            if (!state.store().equals(before)) {
                desiredState.reconnect();
                targetTopic.reconnect();
                quarantine.reconnect();
            }
        });
    }

    @Override
    public Address http() {
        return state.settings().callers();
    }

    @Override
    public boolean drain() throws InterruptedException {
        loop.execute(shutdown::start);
        return shutdown.await();
    }

    @Override
    public void close() {
        closer.close();
    }
}
