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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.rattanrudder.core.fleet.LoadReport.ReadOffsets;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetRegistration;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.rollout.DesiredVersions;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.Closer;
import org.rattanrudder.daemon.loop.MonotonicClock;
import org.rattanrudder.daemon.loop.RunningProcess;
import org.rattanrudder.daemon.relay.TopicFollower.Reading;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.DesiredState;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.WeightsVersion;
import org.rattanrudder.document.RelaySettings;

/**
 * A relay that runs.
 *
 * <pre>{@code
 * try (RelayProcess relay = new RelayProcess(settings, adapter, RandomGenerator.getDefault())) {
 *     relay.drain();
 * }
 * }</pre>
 */
public final class RelayProcess implements RunningProcess {
    /** How often connections are looked at, in ms. */
    static final long SWEEP_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Closer closer = new Closer();
    private final RelayState state;
    private final TargetPools pools;
    private final String incarnation;
    private final TopicFollower wishes;
    private final TopicFollower targets;
    private final PeerExchange peers;
    private final OrderGiver orders;
    private final QuarantineExchange quarantine;
    private final EventLoop loop;
    private final Set<CallerConnection> callers = new HashSet<>();
    private final Map<Address, StoreWatch> stores = new HashMap<>();
    private final Channel callersListening;
    private final OutdatedParts outdated;
    private final RelayStop stop;
    private long targetsChangedTo;

    /**
     * Starts a relay.
     *
     * @throws IOException if it can't listen
     */
    public RelayProcess(RelaySettings settings, PlatformAdapter platform, RandomGenerator random) throws IOException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        closer.add(() -> group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS));
        loop = (EventLoop) group.next();
        EventLog log = new EventLog(Logger.getLogger(RelayProcess.class), new MonotonicClock());
        state = new RelayState(
                settings, platform, loop, RelayChannels.connector(group), log, new RelayMetrics(), random);
        pools = new TargetPools(state.connector(), loop, platform.requests(), state::nowMillis, new Reached());
        outdated = new OutdatedParts(state, stores);
        stop = new RelayStop(state, callers, this::sweep);
        gauges();
        callersListening = listen(group, settings.callers(), RelayChannels.callers(state, pools, callers));
        listen(group, settings.readiness(), new StatusServer(this::readiness));
        listen(group, settings.metrics(), new StatusServer(this::metrics));
        incarnation = settings.instance() + "-" + Long.toHexString(random.nextLong());
        wishes = new TopicFollower(state, Topic.WISHES, Pace.PROMPT, Reading.NEWEST, new Wishes());
        targets = new TopicFollower(
                state,
                Topic.TARGETS,
                Pace.gathered(() -> state.settings().bounds().drainMillis()),
                Reading.NEWEST,
                new Targets());
        orders = new OrderGiver(state, incarnation);
        quarantine = closer.add(new QuarantineExchange(state));
        state.crashDetector().use(pools::probe, quarantine::crashed);
        peers = closer.add(
                new PeerExchange(state, new Bootstrap().group(group), incarnation, new OwnNews(), new PeerNews()));
        loop.execute(this::begin);
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

    private void begin() {
        wishes.start();
        targets.start();
        peers.start();
        orders.start();
        quarantine.start();
        closer.add(new StepTimer(loop)).every(this::sweep, SWEEP_MILLIS);
    }

    /** What this relay tells others. */
    private final class OwnNews implements PeerExchange.OwnNews {
        @Override
        public List<String> loading() {
            return orders.loading();
        }

        @Override
        public boolean ready() {
            return isReady();
        }

        @Override
        public ReadOffsets readTo() {
            return new ReadOffsets(wishes.readTo(), targetsChangedTo, quarantine.readTo());
        }
    }

    /** Takes what other relays say. */
    private final class PeerNews implements PeerExchange.Listener {
        @Override
        public void news(SharedStoreUpdate news) {
            StoreWatch watch = stores.get(news.store());
            if (watch != null) {
                watch.told(news);
            }
        }

        @Override
        public void readTo(ReadOffsets others) {
            wishes.hint(others.desiredConfiguration());
            targets.hint(others.targetsChanged());
            quarantine.hint(others.quarantine());
        }

        @Override
        public void unreachable(List<String> lost) {
            lost.forEach(id -> state.fleet().find(id).ifPresent(pools::verify));
        }
    }

    /** Takes what dials found. */
    private final class Reached implements TargetPools.ReachabilityListener {
        @Override
        public boolean isKnown(Target target) {
            return state.fleet().find(target.id()).filter(target::equals).isPresent();
        }

        @Override
        public void onReachable(Target target) {
            state.log().info("target_reached_again", "target", target.id());
            state.dispatchQueued(target.registration().service());
        }
    }

    /** Takes what operators want. */
    private final class Wishes implements TopicFollower.Listener {
        /** Whether all that had been wished before this relay was there has been read. */
        private boolean caughtUp;

        @Override
        public void record(KeyedRecord record) {
            StoreDialect store = state.platform().store();
            store.readDesiredState(record).ifPresent(wish -> {
                if (wish instanceof DesiredState.DesiredConfiguration configured) {
                    configured(configured, record.offset());
                } else if (wish instanceof DesiredState.DesiredWeights weights) {
                    named(weights.weights(), record.offset());
                }
            });
        }

        private void named(WeightsVersion weights, long offset) {
            DesiredVersions versions = state.weights();
            boolean news = caughtUp
                    ? versions.addDesired(weights.model(), weights.version(), state.nowMillis())
                    : versions.addFoundAtStart(weights.model(), weights.version());
            if (news) {
                orders.wake();
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

        /** Versions only rise: an older record of the same key would change nothing. */
        @Override
        public boolean newestSuffices() {
            return true;
        }

        @Override
        public void listed(Set<String> keys, long end) {
            caughtUp = true;
        }
    }

    private void configured(DesiredState.DesiredConfiguration configured, long offset) {
        if (!state.configure(configured.configuration())) {
            return;
        }
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
        for (Address gone : List.copyOf(stores.keySet())) {
            if (!wanted.contains(gone)) {
                stores.remove(gone).close();
            }
        }
        for (Address address : wanted) {
            if (!stores.containsKey(address)) {
                StoreWatch watch = new StoreWatch(state, incarnation, address, peers::share);
                stores.put(address, watch);
                watch.start();
            }
        }
    }

    /** Takes the targets' entries. */
    private final class Targets implements TopicFollower.Listener {
        @Override
        public void record(KeyedRecord record) {
            long now = state.nowMillis();
            StoreDialect store = state.platform().store();
            Optional<TargetRegistration> before =
                    state.fleet().find(record.key()).map(Target::registration);
            Optional<TargetRegistration> read;
            try {
                read = record.value().map(value -> store.readTarget(record.key(), value));
            } catch (IllegalArgumentException unreadable) {
                state.fleet().onUnreadableRecord(record.key(), record.offset());
                throw unreadable;
            }
            boolean news = state.fleet().apply(record.key(), read, record.offset(), now);
            Optional<TargetRegistration> after =
                    state.fleet().find(record.key()).map(Target::registration);
            if (!news || (before.equals(after) && record.value().isPresent())) {
                return;
            }
            targetsChangedTo = Math.max(targetsChangedTo, record.offset() + 1);
            state.log()
                    .info(
                            "target_changed",
                            "target",
                            record.key(),
                            "known",
                            Boolean.toString(after.isPresent()),
                            "draining",
                            Boolean.toString(
                                    after.map(TargetRegistration::draining).orElse(false)),
                            "offset",
                            Long.toString(record.offset()));
        }

        @Override
        public void listed(Set<String> keys, long end) {
            state.fleet().applyListing(keys, end, state.nowMillis());
        }

        @Override
        public void answered() {
            state.fleet().onLogAvailable(state.nowMillis());
        }

        @Override
        public void lost() {
            state.fleet().onLogUnavailable();
        }
    }

    private void sweep() {
        long now = state.nowMillis();
        state.eventLoopLag().onTaskRun(now);
        boolean closeIdle = state.isRefusingRequests();
        if (closeIdle && callersListening.isOpen()) {
            callersListening.close();
        }
        // Late, what callers have sent may lie unread, and they look idle; a stop has no time to wait for that.
        if (closeIdle || !state.eventLoopLag().isLate(now)) {
            List.copyOf(callers).forEach(caller -> caller.sweep(now, closeIdle));
        }
        pools.sweep(Set.copyOf(state.fleet().all(now)), now);
        outdated.free(now);
        quarantine.sweep();
        stop.look(now);
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

    private void gauges() {
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

    /** Takes over what may change while a relay runs from settings that were read again. */
    public void applySettings(RelaySettings read) {
        loop.execute(() -> {
            Address before = state.store();
            state.applySettings(read);
            if (!state.store().equals(before)) {
                wishes.reconnect();
                targets.reconnect();
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
        loop.execute(stop::begin);
        return stop.await();
    }

    @Override
    public void close() {
        closer.close();
    }
}
