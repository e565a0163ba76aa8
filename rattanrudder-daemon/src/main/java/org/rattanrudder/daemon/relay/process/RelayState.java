package org.rattanrudder.daemon.relay.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.fleet.Fleet;
import org.rattanrudder.core.fleet.MedianEstimate;
import org.rattanrudder.core.fleet.PermitShares;
import org.rattanrudder.core.fleet.RateLimitAdmission;
import org.rattanrudder.core.fleet.ReportSchedule;
import org.rattanrudder.core.fleet.TargetAdmission;
import org.rattanrudder.core.fleet.WarmUpAdmission;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.gateway.CallerLimits;
import org.rattanrudder.core.gateway.ConnectionGate;
import org.rattanrudder.core.gateway.EventLoopLag;
import org.rattanrudder.core.gateway.RecentDurations;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.gateway.ShutdownPolicy;
import org.rattanrudder.core.gateway.WarmUpTraits;
import org.rattanrudder.core.gateway.WindowedRetryBudget;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartDirectory;
import org.rattanrudder.core.parts.RetiredWeights;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.rollout.ClaimedVersions;
import org.rattanrudder.core.rollout.DesiredVersions;
import org.rattanrudder.core.rollout.VersionExchange;
import org.rattanrudder.core.rollout.WeightsAdmission;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.core.topics.InitialReadWait;
import org.rattanrudder.core.topics.ReadFreshness;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.ClockLog;
import org.rattanrudder.daemon.loop.ProcessClock;
import org.rattanrudder.daemon.relay.net.CallsInFlight;
import org.rattanrudder.daemon.relay.port.PlatformAdapter;
import org.rattanrudder.document.RelaySettings;

/** Holds the state that a relay's components share. It is confined to the event loop, unless stated otherwise. */
public final class RelayState {
    /** Interval of the check of all connections. */
    public static final long SWEEP_INTERVAL_MILLIS = 500;

    /** Share of the permitted retry ratio that is used, since other parties measure it in windows with other bounds. */
    private static final double USED_RATIO_SHARE = 0.8;

    /** The duration of a call as a share of the objective, until calls were seen. */
    private static final double CALL_OBJECTIVE_SHARE = 0.2;

    /** From which delay of a round of reports on the event loop is late for new connections, and for how long. */
    private static final long REPORT_LATE_MILLIS = 100;

    private static final long REPORT_CATCH_UP_MILLIS = 300;

    /** Replaced on the event loop only, but read by other threads too. */
    private volatile RelaySettings settings;

    private final PlatformAdapter platform;
    private final ProcessClock clock;
    private final EventLoop loop;
    private final Bootstrap connector;
    private final EventLog log;
    private final RelayMetrics metrics;
    private final CallsInFlight storeCalls = new CallsInFlight();
    private final StoreRoute storeRoute;
    private final StoreEra storeEra;
    private final RandomGenerator random;
    private final DesiredVersions weights = new DesiredVersions();
    private final ClaimedVersions claimedWeights = new ClaimedVersions(weights, this::atMostMillis);
    private final Fleet fleet = new Fleet(claimedWeights);
    private final PermitShares permitShares = new PermitShares();
    private final WarmUpAdmission warmUps = new WarmUpAdmission(fleet.evacuations(), permitShares);
    private final RateLimitAdmission rateLimits = new RateLimitAdmission(permitShares);
    private final TargetAdmission admission = new TargetAdmission(fleet, warmUps, rateLimits);
    private final PartDirectory directory;
    private final RetiredWeights retiredWeights;
    private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
    private final VersionExchange versionExchange = new VersionExchange(weights);
    private final WeightsAdmission weightsAdmission =
            new WeightsAdmission(weights, () -> settings().bounds().weightsMillis());
    private final Map<String, MedianEstimate> callMillis = new HashMap<>();
    private final Map<String, RecentDurations> durations = new HashMap<>();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private final ReadFreshness desiredStateRead;
    private final EventLoopLag eventLoopLag;
    private final EventLoopLag reportLag;
    private final EventLoopLag possibleReportLag;
    private final ConnectionGate connectionGate;
    private final long relayHash;
    private final Quarantine quarantine = new Quarantine();
    private final InitialReadWait quarantineRead = new InitialReadWait();
    private final ByteBudget heldBytes = ByteBudget.ofHeap(Runtime.getRuntime().maxMemory());
    private boolean draining;
    private long drainingSince;
    private boolean stopping;
    private long stoppingSince;
    private long graceMillisAtStop;

    /** Creates the state of a relay that has read no configuration and knows no targets. */
    public RelayState(
            RelaySettings settings,
            PlatformAdapter platform,
            ProcessClock clock,
            EventLoop loop,
            Bootstrap connector,
            EventLog log,
            RelayMetrics metrics,
            RandomGenerator random) {
        this.settings = settings;
        this.platform = platform;
        this.clock = clock;
        this.loop = loop;
        this.connector = connector;
        this.log = log;
        this.metrics = metrics;
        this.random = random;
        storeRoute = new StoreRoute(log, this::nowMillis);
        storeEra = new StoreEra(log, platform.store(), clock::now);
        UnreadNames members = new UnreadNames(fields -> log.warn("member_unread", fields), metrics::recordUnreadMember);
        platform.setUnreadListener(members::record);
        directory = new PartDirectory();
        retiredWeights = new RetiredWeights(settings.instance());
        updateWarmUpBounds();
        updateLearnedFigures();
        relayHash = Hashing.of(settings.instance());
        desiredStateRead = new ReadFreshness(atMostMillis());
        eventLoopLag = new EventLoopLag(atMostMillis(), SWEEP_INTERVAL_MILLIS);
        reportLag = newReportLag(nowMillis());
        possibleReportLag = newReportLag(atMostMillis());
        connectionGate = new ConnectionGate(nowMillis());
        StateGauges.register(this);
        ClockLog.register(clock, log, ClockLog.GaugeNames.RELAY, metrics::gauge);
    }

    private static EventLoopLag newReportLag(long nowMillis) {
        return new EventLoopLag(nowMillis, ReportSchedule.ROUND_MILLIS, REPORT_LATE_MILLIS, REPORT_CATCH_UP_MILLIS);
    }

    /** Returns the shortest time that may have passed, in ms: a suspension counts once two clocks show it. */
    public long nowMillis() {
        return clock.atLeastMillis();
    }

    /**
     * Returns the longest time that may have passed, in ms: what forbids something after a while counts by it. It is
     * never compared with times of {@link #nowMillis}.
     */
    public long atMostMillis() {
        return clock.atMostMillis();
    }

    /** Returns the clock of this process. */
    public ProcessClock clock() {
        return clock;
    }

    /** Records a run of the sweep, whose delay shows how late the event loop is. */
    public void onSweep() {
        eventLoopLag.onTaskRun(atMostMillis());
    }

    /** Returns whether requests may have waited unprocessed, as after a pause or a suspension. */
    public boolean isEventLoopLate() {
        return eventLoopLag.isLate(atMostMillis());
    }

    /** Records a round of reports to peers, whose delay shows how late the event loop is right now. */
    public void onReportRound() {
        reportLag.onTaskRun(nowMillis());
        possibleReportLag.onTaskRun(atMostMillis());
    }

    /** Returns whether messages of peers may have waited unread for longer than a moment, as after a suspension. */
    public boolean mayReportsHaveWaited() {
        return possibleReportLag.isLate(atMostMillis());
    }

    /** Returns whether a connection that a caller has opened is taken; else it is closed before anything is read. */
    public boolean admitsConnection() {
        long now = nowMillis();
        boolean admitted = connectionGate.admits(reportLag.isLate(now), fleet.anyPeerReady(now), now);
        if (!admitted) {
            metrics.recordConnectionClosedUnread();
        }
        return admitted;
    }

    /** Returns the settings in force. */
    public RelaySettings settings() {
        return settings;
    }

    /** Returns the address of the platform's store. */
    public Address store() {
        return settings.store();
    }

    /** Returns the count of calls to the platform's store that await an answer. */
    public CallsInFlight storeCalls() {
        return storeCalls;
    }

    /** Returns the era of the platform's store. */
    public StoreEra storeEra() {
        return storeEra;
    }

    /** Returns whether the platform's store refuses this relay, and the peers that read for it meanwhile. */
    public StoreRoute storeRoute() {
        return storeRoute;
    }

    /** Applies those settings that may change while a relay runs. */
    public void applySettings(RelaySettings read) {
        settings = settings.takeOver(read);
        RelaySettings.Bounds bounds = settings.bounds();
        retryBudgets
                .values()
                .forEach(budget -> budget.update(bounds.retryRatio() * USED_RATIO_SHARE, bounds.retryExtra()));
        updateWarmUpBounds();
        updateLearnedFigures();
    }

    private void updateLearnedFigures() {
        fleet.useLearnedFigures(callersCompete());
    }

    /** Returns whether callers compete for the capacity of targets, by the platform's features in force. */
    public boolean callersCompete() {
        return platform.callersCompete(settings.features());
    }

    private void updateWarmUpBounds() {
        warmUps.updateBounds(
                settings.bounds().warmUpOverage(), settings.bounds().warmUpSlack());
    }

    /** Returns a hash of this relay's name, which orders engines that are about equally loaded. */
    public long relayHash() {
        return relayHash;
    }

    /** Returns the adapter of the platform. */
    public PlatformAdapter platform() {
        return platform;
    }

    /** Returns the event loop, which owns all state. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns the bootstrap for outbound connections. */
    public Bootstrap connector() {
        return connector;
    }

    /** Returns what is suspected and quarantined for crashes of targets. */
    public Quarantine quarantine() {
        return quarantine;
    }

    /** Returns how long callers wait until it is known what others have quarantined. */
    public InitialReadWait quarantineRead() {
        return quarantineRead;
    }

    /** Returns what is held of the bytes of others, and how much may be. */
    public ByteBudget heldBytes() {
        return heldBytes;
    }

    /** Returns the log of events. */
    public EventLog log() {
        return log;
    }

    /** Returns the metrics. */
    public RelayMetrics metrics() {
        return metrics;
    }

    /** Returns the source of random numbers. */
    public RandomGenerator random() {
        return random;
    }

    /** Returns the targets and peers that are known. */
    public Fleet fleet() {
        return fleet;
    }

    /** Returns how relays divide the permits of targets. */
    public PermitShares permitShares() {
        return permitShares;
    }

    /** Returns the limits of requests to targets that have named one. */
    public RateLimitAdmission rateLimits() {
        return rateLimits;
    }

    /** Returns the limits of requests to targets that are warming up. */
    public WarmUpAdmission warmUps() {
        return warmUps;
    }

    /** Returns what decides which targets get requests and other calls. */
    public TargetAdmission admission() {
        return admission;
    }

    /** Returns how the targets of a service warm up; empty if they don't. */
    public Optional<WarmUpTraits> warmUpTraits(String service) {
        return configuration
                .flatMap(known -> Optional.ofNullable(known.services().get(service)))
                .flatMap(BackendService::warmUp);
    }

    /** Returns what context stores hold. */
    public PartDirectory directory() {
        return directory;
    }

    /** Returns the weights whose parts are no longer fetched. */
    public RetiredWeights retiredWeights() {
        return retiredWeights;
    }

    /** Returns the configuration in force; empty before the first was read. */
    public Optional<ServingConfiguration> configuration() {
        return configuration;
    }

    /** Returns up to when the desired state, and so the configuration, is known to have been read. */
    public ReadFreshness desiredStateRead() {
        return desiredStateRead;
    }

    /** Returns whether no newer configuration than the one in force can have existed for longer than the bound. */
    public boolean isConfigurationCurrent() {
        return desiredStateRead.ageMillis(atMostMillis()) <= settings.bounds().configurationMillis();
    }

    /** Applies a configuration, unless it isn't newer than the one in force; returns whether it was applied. */
    public boolean updateConfiguration(ServingConfiguration newest) {
        if (configuration.isPresent() && configuration.get().version() >= newest.version()) {
            return false;
        }
        configuration = Optional.of(newest);
        quarantineRead.begin(nowMillis());
        directory.configure(newest.stores());
        return true;
    }

    /** Returns the limits for callers in force. */
    public CallerLimits limits() {
        return configuration.map(ServingConfiguration::limits).orElse(CallerLimits.BEFORE_CONFIGURATION);
    }

    /** Returns the desired versions of weights. */
    public DesiredVersions weights() {
        return weights;
    }

    /** Returns what decides on which weights requests may begin. */
    public WeightsAdmission weightsAdmission() {
        return weightsAdmission;
    }

    /** Returns the weights that engines are said to serve and that aren't known to be published. */
    public ClaimedVersions claimedWeights() {
        return claimedWeights;
    }

    /** Returns what asks peers for the times of desired versions of weights. */
    public VersionExchange versionExchange() {
        return versionExchange;
    }

    /**
     * Returns the estimate of how long calls of a plain service take at a healthy target.
     *
     * @param objectiveMillis the latency objective of the route that asks first: operators set it to some times the
     *     duration of a call
     */
    public MedianEstimate callMillis(String service, long objectiveMillis) {
        return callMillis.computeIfAbsent(
                service, unseen -> new MedianEstimate(objectiveMillis * CALL_OBJECTIVE_SHARE));
    }

    /** Returns the number of live relays, including this one. */
    public int relayCount(long nowMillis) {
        return 1 + fleet.livePeerCount(nowMillis);
    }

    /** Acquires a retry from a service's budget; returns false if the budget is exhausted. */
    public boolean tryAcquireRetry(String service) {
        long now = nowMillis();
        return retryBudget(service).tryAcquire(relayCount(now), now);
    }

    /** Returns the retry budget of a service. */
    public WindowedRetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                unseen -> new WindowedRetryBudget(
                        settings.bounds().retryRatio() * USED_RATIO_SHARE,
                        settings.bounds().retryExtra(),
                        settings.bounds().retryWindowMillis()));
    }

    public boolean isDraining() {
        return draining;
    }

    /**
     * Returns whether callers should connect to this relay: it is configured, knows targets and what crashes them, and
     * isn't leaving.
     */
    public boolean isReady() {
        long now = nowMillis();
        return configuration.isPresent() && !draining && !fleet.all(now).isEmpty() && quarantineRead.isOver(now);
    }

    /** Returns whether new requests are refused, since they might not finish before the process exits. */
    public boolean isRefusingRequests() {
        return draining && nowMillis() - drainingSince > ShutdownPolicy.callerDrainMillis(graceMillis());
    }

    /** Returns whether a request on the route is still accepted that ends by a deadline. */
    public boolean accepts(ServiceRoute route, long deadlineAt) {
        long now = nowMillis();
        return !stopping
                || ShutdownPolicy.accepts(
                        route.repeat().stream(),
                        deadlineAt - now,
                        expectedMillis(route, now),
                        now - stoppingSince,
                        graceMillis());
    }

    /** Returns whether a request that is sent to a target now is known to end before the process does. */
    public boolean finishesBeforeStop(ServiceRoute route, long deadlineAt) {
        long now = nowMillis();
        return !stopping
                || ShutdownPolicy.finishes(
                        deadlineAt - now, expectedMillis(route, now), now - stoppingSince, graceMillis());
    }

    /** At first, one long request of late must not have a route refused whose callers can't know of the stop. */
    private OptionalLong expectedMillis(ServiceRoute route, long now) {
        RecentDurations recent = durations(route);
        return ShutdownPolicy.mayCallersBeUnaware(now - stoppingSince, graceMillis())
                ? recent.usualLimitMillis()
                : recent.limitMillis();
    }

    /** Returns how long the last requests on a route took. */
    public RecentDurations durations(ServiceRoute route) {
        return durations.computeIfAbsent(route.name(), unseen -> new RecentDurations());
    }

    /** Returns whether the process was asked to stop. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns when the process was asked to stop. */
    public long stoppingSince() {
        return stoppingSince;
    }

    /** Records that the process was asked to stop; requests are still accepted until {@link #startDraining}. */
    void startStopping() {
        stopping = true;
        stoppingSince = nowMillis();
        graceMillisAtStop = settings.bounds().graceMillis();
    }

    /** Returns the grace period of the shutdown, in ms; it is fixed once the process was asked to stop. */
    public long graceMillis() {
        return stopping ? graceMillisAtStop : settings.bounds().graceMillis();
    }

    void startDraining() {
        draining = true;
        drainingSince = nowMillis();
    }
}
