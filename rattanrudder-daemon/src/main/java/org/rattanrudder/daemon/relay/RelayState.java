package org.rattanrudder.daemon.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.fleet.Fleet;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.core.gateway.CallerLimits;
import org.rattanrudder.core.gateway.EventLoopLag;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.gateway.ShutdownPolicy;
import org.rattanrudder.core.gateway.WindowedRetryBudget;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartDirectory;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.rollout.DesiredVersions;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.document.RelaySettings;

/** What the parts of a relay share. It is owned by the event loop: nothing else may touch it. */
final class RelayState {
    /** Part of the ratio that is used: windows of others begin and end at other times. */
    private static final double RATIO_USED = 0.8;

    /** Replaced on the event loop, read by others too. */
    private volatile RelaySettings settings;

    private final PlatformAdapter platform;
    private final EventLoop loop;
    private final Bootstrap connector;
    private final EventLog log;
    private final RelayMetrics metrics;
    private final RandomGenerator random;
    private final Fleet fleet = new Fleet();
    private final PartDirectory directory;
    private final Map<String, WindowedRetryBudget> allowances = new HashMap<>();
    private final DesiredVersions weights = new DesiredVersions();
    private final Map<String, HoldingQueue<Exchange>> lines = new HashMap<>();
    private final Set<String> linesBeingDrained = new HashSet<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private final EventLoopLag eventLoopLag;
    private final long relayHash;
    private final PlacementBroadcaster placementBroadcaster;
    private final FetchLatenessRecorder fetchLateness = new FetchLatenessRecorder();
    private final CrashDetector crashDetector;
    private final Quarantine quarantine = new Quarantine();
    private boolean isDraining;
    private long drainingSince;
    private boolean isStopping;
    private long stoppingSince;
    private long graceAtStop;

    RelayState(
            RelaySettings settings,
            PlatformAdapter platform,
            EventLoop loop,
            Bootstrap connector,
            EventLog log,
            RelayMetrics metrics,
            RandomGenerator random) {
        this.settings = settings;
        this.platform = platform;
        this.loop = loop;
        this.connector = connector;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
        directory = new PartDirectory();
        relayHash = Hashing.of(settings.instance());
        placementBroadcaster = new PlacementBroadcaster(loop);
        crashDetector = new CrashDetector(loop);
        eventLoopLag = new EventLoopLag(nowMillis(), RelayProcess.SWEEP_MILLIS);
    }

    /** Returns milliseconds of a steady clock. */
    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns whether the event loop has lately run late. */
    EventLoopLag eventLoopLag() {
        return eventLoopLag;
    }

    RelaySettings settings() {
        return settings;
    }

    /** Returns where the platform's store listens. */
    Address store() {
        return settings.store();
    }

    /** Takes over what may change while a relay runs. */
    void applySettings(RelaySettings read) {
        settings = settings.takeOver(read);
        RelaySettings.Bounds bounds = settings.bounds();
        allowances
                .values()
                .forEach(allowance -> allowance.update(bounds.retryRatio() * RATIO_USED, bounds.retryExtra()));
    }

    /** Returns a hash of this relay's name, by which it orders engines that are about as busy. */
    long relayHash() {
        return relayHash;
    }

    PlatformAdapter platform() {
        return platform;
    }

    EventLoop loop() {
        return loop;
    }

    Bootstrap connector() {
        return connector;
    }

    /** Returns what gathers news of work for the other relays. */
    PlacementBroadcaster placementBroadcaster() {
        return placementBroadcaster;
    }

    /** Returns what gathers news of fetches for the other relays. */
    FetchLatenessRecorder fetchLateness() {
        return fetchLateness;
    }

    /** Returns what tells ends of targets. */
    CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Returns what is held against requests. */
    Quarantine quarantine() {
        return quarantine;
    }

    EventLog log() {
        return log;
    }

    RelayMetrics metrics() {
        return metrics;
    }

    RandomGenerator random() {
        return random;
    }

    Fleet fleet() {
        return fleet;
    }

    PartDirectory directory() {
        return directory;
    }

    Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    /** Takes a configuration unless it is older than the one in force. */
    boolean configure(ServingConfiguration newest) {
        if (configuration.isPresent() && configuration.get().version() >= newest.version()) {
            return false;
        }
        configuration = Optional.of(newest);
        directory.configure(newest.stores());
        return true;
    }

    CallerLimits limits() {
        return configuration.map(ServingConfiguration::limits).orElse(CallerLimits.BEFORE_CONFIGURATION);
    }

    /** Returns the versions of weights that were named. */
    DesiredVersions weights() {
        return weights;
    }

    /** Returns the line of a service's requests that wait for an engine. */
    HoldingQueue<Exchange> holdingQueue(String service) {
        return lines.computeIfAbsent(service, unseen -> new HoldingQueue<>());
    }

    /** Lets requests that can't be on time go behind the others, and refuses those that would wait too long. */
    void expireQueue(String service) {
        HoldingQueue<Exchange> line = holdingQueue(service);
        long now = nowMillis();
        long allowed =
                HoldingQueue.maxLateTokens(fleet.activeTargets(service, now).size(), relayCount(now));
        line.expire(now, allowed).forEach(refused -> refused.request().refuseFromLine());
        dispatchQueued(service);
    }

    /** Sends requests that wait, as far as engines have room. */
    void dispatchQueued(String service) {
        HoldingQueue<Exchange> line = holdingQueue(service);
        if (line.size() == 0 || !linesBeingDrained.add(service)) {
            return;
        }
        loop.execute(() -> {
            linesBeingDrained.remove(service);
            line.dispatchWhile(Exchange::placeInWindow);
        });
    }

    /** Returns how many relays are known, this one included. */
    int relayCount(long nowMillis) {
        return 1 + fleet.livePeerCount(nowMillis);
    }

    /** Takes a further send of a service's request from the retry budget; false if none is left. */
    boolean tryAcquireRetry(String service) {
        long now = nowMillis();
        return retryBudget(service).tryAcquire(relayCount(now), now);
    }

    WindowedRetryBudget retryBudget(String service) {
        return allowances.computeIfAbsent(
                service,
                unseen -> new WindowedRetryBudget(
                        settings.bounds().retryRatio() * RATIO_USED,
                        settings.bounds().retryExtra(),
                        settings.bounds().retryWindowMillis()));
    }

    boolean isDraining() {
        return isDraining;
    }

    /** Returns whether new requests are refused, since they might not end before the process does. */
    boolean isRefusingRequests() {
        return isDraining && nowMillis() - drainingSince > ShutdownPolicy.callerDrainMillis(graceMillis());
    }

    /** Returns whether a request on the route is still taken. */
    boolean accepts(ServiceRoute route) {
        return !isStopping || ShutdownPolicy.accepts(route, nowMillis() - stoppingSince, graceMillis());
    }

    /** Returns whether the process was asked to stop. */
    boolean isStopping() {
        return isStopping;
    }

    /** Returns when the process was asked to stop. */
    long stoppingSince() {
        return stoppingSince;
    }

    /** Notes that the process was asked to stop; it still takes requests until {@link #drain}. */
    void stop() {
        isStopping = true;
        stoppingSince = nowMillis();
        graceAtStop = settings.bounds().graceMillis();
    }

    /** Returns how long the process may take to stop, in ms: what held when it was asked counts until its end. */
    long graceMillis() {
        return isStopping ? graceAtStop : settings.bounds().graceMillis();
    }

    void drain() {
        isDraining = true;
        drainingSince = nowMillis();
    }
}
