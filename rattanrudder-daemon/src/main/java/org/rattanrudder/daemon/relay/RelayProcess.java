package org.rattanrudder.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.rattanrudder.core.fleet.LoadReport.ReadPositions;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.ClockSource;
import org.rattanrudder.daemon.loop.Closer;
import org.rattanrudder.daemon.loop.MonotonicClock;
import org.rattanrudder.daemon.loop.ProcessClock;
import org.rattanrudder.daemon.loop.RunningProcess;
import org.rattanrudder.daemon.relay.net.LoopTurns;
import org.rattanrudder.daemon.relay.net.RelayChannels;
import org.rattanrudder.daemon.relay.net.RelayEventLoops;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.peers.FetchLatenessRecorder;
import org.rattanrudder.daemon.relay.peers.PeerExchange;
import org.rattanrudder.daemon.relay.peers.PlacementBroadcaster;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.daemon.relay.process.GracefulShutdown;
import org.rattanrudder.daemon.relay.process.RelayMetrics;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.process.StatusServer;
import org.rattanrudder.daemon.relay.quarantine.QuarantineExchange;
import org.rattanrudder.daemon.relay.rollout.RolloutCoordinator;
import org.rattanrudder.daemon.relay.serving.CallerServer;
import org.rattanrudder.daemon.relay.serving.HoldingQueues;
import org.rattanrudder.daemon.relay.serving.MemoryAdmission;
import org.rattanrudder.daemon.relay.serving.ServingComponents;
import org.rattanrudder.daemon.relay.store.PeerReadServer;
import org.rattanrudder.daemon.relay.store.StoreTopics;
import org.rattanrudder.daemon.relay.store.StoreWatches;
import org.rattanrudder.daemon.relay.streams.SoleSoftware;
import org.rattanrudder.daemon.relay.streams.StreamOriginExchange;
import org.rattanrudder.daemon.relay.targets.CapacityGauges;
import org.rattanrudder.daemon.relay.targets.SelfReports;
import org.rattanrudder.daemon.relay.targets.TargetPools;
import org.rattanrudder.daemon.relay.targets.TargetStateLog;
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
    private final Closer closer = new Closer();
    private final RelayState state;
    private final MemoryAdmission memory;
    private final TargetPools pools;
    private final StoreTopics topics;
    private final PeerExchange peers;
    private final RolloutCoordinator rollouts;
    private final QuarantineExchange quarantine;
    private final EventLoop loop;
    private final CallerServer callers;
    private final StoreWatches storeWatches;
    private final Channel callerListener;
    private final GracefulShutdown shutdown;
    private final TargetStateLog targetStateLog;

    /**
     * Starts a relay.
     *
     * @throws IOException if it can't listen on one of its addresses
     */
    public RelayProcess(RelaySettings settings, PlatformAdapter platform, RandomGenerator random) throws IOException {
        ProcessClock clock = new ProcessClock(ClockSource.system());
        EventLog log = new EventLog(Logger.getLogger(RelayProcess.class), new MonotonicClock());
        LoopTurns turns = new LoopTurns(millis -> log.warn("event_loop_stalled", "ms", Long.toString(millis)));
        EventLoopGroup group = new RelayEventLoops(clock, turns);
        closer.add(() -> group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS));
        loop = group.next();
        state = new RelayState(
                settings, platform, clock, loop, RelayChannels.connector(group), log, new RelayMetrics(), random);
        memory = new MemoryAdmission(state);
        HoldingQueues queues = new HoldingQueues(state);
        pools = new TargetPools(state, queues);
        SelfReports selfReports = new SelfReports(state, queues);
        StreamOriginExchange streamOrigins = new StreamOriginExchange(state, settings.instance());
        SoleSoftware soleSoftware = new SoleSoftware(state);
        quarantine = new QuarantineExchange(state, pools::probe);
        PlacementBroadcaster placements = new PlacementBroadcaster(loop);
        FetchLatenessRecorder fetchLateness = new FetchLatenessRecorder();
        callers = new CallerServer(new ServingComponents(
                state,
                pools,
                memory,
                queues,
                selfReports,
                streamOrigins,
                soleSoftware,
                quarantine,
                placements,
                fetchLateness));
        targetStateLog = new TargetStateLog(state);
        shutdown = new GracefulShutdown(state, callers, this::stopListening);
        registerGauges(turns);
        callerListener = listen(group, settings.callers(), callers.channels());
        listen(group, settings.readiness(), StatusServer.readiness(state));
        listen(group, settings.metrics(), StatusServer.metrics(state.metrics()));
        String incarnation = settings.instance() + "-" + Long.toHexString(random.nextLong());
        storeWatches = new StoreWatches(state, selfReports, incarnation, this::broadcast);
        rollouts = new RolloutCoordinator(state, selfReports, incarnation);
        topics = closer.add(new StoreTopics(
                state,
                queues,
                storeWatches,
                soleSoftware::onConfiguration,
                rollouts::pollNow,
                soleSoftware::onConfigurationsMissed));
        soleSoftware.setConfirmation(topics::confirmAllRead);
        closer.add(quarantine);
        peers = closer.add(new PeerExchange(
                state,
                new Bootstrap().group(group),
                incarnation,
                new PeerExchange.Components(placements, fetchLateness, streamOrigins, selfReports, queues),
                new LocalState(),
                new PeerListener()));
        quarantine.setOnWritten(peers::announceReadPositions);
        state.storeRoute().setPeers(peers::livePeerAddresses);
        listen(group, settings.peers(), new PeerReadServer(state, peers::isPeerHost));
        loop.execute(this::startComponents);
    }

    private void registerGauges(LoopTurns turns) {
        new CapacityGauges(state).register();
        state.metrics()
                .gauge(
                        "rattanrudder_relay_event_loop_longest_turn_seconds",
                        "The longest turn of the event loop in the last one to two minutes",
                        turns::longestSeconds);
        state.metrics().gauge("rattanrudder_relay_connections", "Callers' connections", callers::size);
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

    private void broadcast(SharedStoreUpdate update) {
        peers.broadcast(update);
    }

    private void startComponents() {
        topics.start();
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
        public void updateVotes(long nowMillis) {
            storeWatches.updateVotes(nowMillis);
        }

        @Override
        public boolean acceptsConnections() {
            return state.isReady();
        }

        @Override
        public ReadPositions readPositions() {
            return new ReadPositions(
                    topics.desiredStatePosition(),
                    topics.targetsChangedPosition(),
                    quarantine.readPosition(),
                    peers.relaysReadPosition());
        }
    }

    /** Handles messages of peers. */
    private final class PeerListener implements PeerExchange.Listener {
        @Override
        public void onStoreUpdate(SharedStoreUpdate update) {
            storeWatches.onSharedUpdate(update);
        }

        @Override
        public void onReadPositions(ReadPositions others) {
            topics.onPeerPositions(others);
            quarantine.onPeerPosition(others.quarantine());
        }

        @Override
        public void onUnreachable(List<String> unreachable) {
            unreachable.forEach(id -> state.fleet().find(id).ifPresent(pools::verify));
        }
    }

    private void sweep() {
        state.clock().check();
        long now = state.nowMillis();
        state.onSweep();
        // If the event loop is late, callers' data may be unread and their connections only seem idle.
        if (!state.isEventLoopLate()) {
            callers.sweep(now, false);
        }
        memory.update();
        pools.sweep(Set.copyOf(state.fleet().all(now)), now);
        targetStateLog.update(now);
        storeWatches.evictOutdatedParts(now);
        quarantine.sweep();
    }

    private void stopListening() {
        callerListener.close();
    }

    /** Applies those reloaded settings that may change while a relay runs. */
    public void applySettings(RelaySettings read) {
        loop.execute(() -> {
            Address before = state.store();
            state.applySettings(read);
            if (!state.store().equals(before)) {
                state.storeRoute().onServed();
                topics.reconnect();
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
