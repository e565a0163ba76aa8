package org.rattanrudder.daemon.relay.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.rollout.LeaseRecord;
import org.rattanrudder.core.rollout.OrderLease;
import org.rattanrudder.core.rollout.RolloutPlanner;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.EngineDialect.EngineReport;
import org.rattanrudder.daemon.relay.port.EngineDialect.LoadOrder;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.port.WeightsVersion;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.store.PollIntervals;
import org.rattanrudder.daemon.relay.store.TopicFollower;
import org.rattanrudder.daemon.relay.store.TopicFollower.InitialRead;
import org.rattanrudder.daemon.relay.targets.SelfReports;

/**
 * Orders engines to load the newest weights while this relay holds the rollout lease.
 *
 * <p>Before each batch of orders, a record is appended to the lease's log. It renews the lease, its offset is the
 * fencing token, and it lists the engines to which peers send no new work while they load.
 */
public final class RolloutCoordinator implements AutoCloseable {
    /** Poll interval while a rollout is pending: a tenth of the shortest load time. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    /** Poll interval while no rollout is pending. */
    private static final long IDLE_POLL_INTERVAL_MILLIS = 500;

    /** How long an engine gets no new work after an order; weights usually load within this time. */
    private static final long LOAD_MILLIS = 5_000;

    /** The same for engines ordered by a peer, which reports them while they load, see {@link #loadingTargets}. */
    private static final long PEER_LOAD_MILLIS = 1_500;

    /**
     * Delay between an order and the first check of its progress, and the interval of further checks. An engine's
     * report is some 100 ms old, the shortest load takes 900 ms, and each check costs as much as a health check.
     */
    private static final long FIRST_PROGRESS_CHECK_MILLIS = 900;

    private static final long PROGRESS_CHECK_INTERVAL_MILLIS = 200;
    private static final long ENGINE_TIMEOUT_MILLIS = 900;
    private static final long APPEND_TIMEOUT_MILLIS = 1_200;

    private final RelayState state;
    private final SelfReports selfReports;
    private final StepTimer timer;
    private final StoreDialect store;
    private final OrderLease lease;
    private final String relayId;
    private final TopicFollower follower;
    private final HttpCallClient appendClient;
    private final Map<String, RolloutPlanner> planners = new HashMap<>();
    private final Map<String, Long> progressChecksDueAt = new HashMap<>();
    private final Map<String, Integer> reportedInFlight = new HashMap<>();
    private final RolloutLog rolloutLog;
    private final Set<String> targetsBeingCalled = new HashSet<>();
    private boolean answeredOnce;
    private boolean caughtUp;

    /**
     * Creates a coordinator that reads and orders nothing until {@link #start}.
     *
     * @param relayId names this process of the relay in the lease
     */
    public RolloutCoordinator(RelayState state, SelfReports selfReports, String relayId) {
        this.state = state;
        this.selfReports = selfReports;
        timer = new StepTimer(state.loop());
        this.relayId = relayId;
        store = state.platform().store();
        rolloutLog = new RolloutLog(state);
        lease = new OrderLease(
                state.settings().instance(), relayId, state.settings().bounds().leaseMillis());
        follower = new TopicFollower(state, Topic.ORDERS, PollIntervals.RARE, InitialRead.KEPT, new LeaseListener());
        appendClient = new HttpCallClient(state.connector(), state.heldBytes(), state::store);
    }

    /** Starts to read the lease's log and to check for pending rollouts. */
    public void start() {
        follower.start();
        timer.reschedule(this::poll, POLL_INTERVAL_MILLIS);
    }

    /** Handles the records of the lease's log. */
    private final class LeaseListener implements TopicFollower.Listener {
        @Override
        public void onRecord(KeyedRecord record) {
            // A malformed record takes up an offset too, so the next append gets a later one.
            lease.advanceTo(record.offset() + 1);
            LeaseRecord read = store.readLease(record.value().orElseThrow());
            long now = state.nowMillis();
            lease.onRecord(record.offset(), read, now);
            // Records from before the start are outdated: after a restart all engines would seem to be loading.
            if (caughtUp && !read.holder().equals(relayId)) {
                read.loading()
                        .forEach(id -> state.fleet()
                                .find(id)
                                .ifPresent(target -> target.markLoadingWeights(now + PEER_LOAD_MILLIS)));
            }
        }

        @Override
        public void onAvailable() {
            // The first answer holds the records that were written before this relay started.
            caughtUp = answeredOnce;
            answeredOnce = true;
            lease.advanceTo(follower.readOffset());
        }
    }

    /** Polls at once, since new weights were published. */
    public void pollNow() {
        timer.reschedule(this::poll, 0);
    }

    private void poll() {
        List<PendingRollout> pending = pendingRollouts();
        logBehind(pending);
        if (!pending.isEmpty() && !state.isDraining()) {
            advance(pending);
        }
        timer.reschedule(this::poll, pending.isEmpty() ? IDLE_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS);
    }

    private void logBehind(List<PendingRollout> pending) {
        long now = state.nowMillis();
        boolean held = lease.isHeld(now, System.currentTimeMillis());
        String holder = held ? "self" : lease.lastOtherHolder();
        rolloutLog.behind(
                pending.stream()
                        .flatMap(rollout -> rollout.targets().stream()
                                .map(target -> new RolloutLog.Pending(
                                        target, rollout.weights(), targetsBeingCalled.contains(target.id()))))
                        .toList(),
                holder,
                now);
    }

    /** A model's newest weights, and the targets of a service that serve the model, not all of them in that version. */
    private record PendingRollout(String service, WeightsVersion weights, List<Target> targets) {}

    private List<PendingRollout> pendingRollouts() {
        List<PendingRollout> pending = new ArrayList<>();
        if (state.configuration().isEmpty()) {
            return pending;
        }
        for (BackendService service : state.configuration().get().services().values()) {
            if (service.engine().isEmpty()) {
                continue;
            }
            List<Target> targets = state.fleet().activeTargets(service.name(), state.nowMillis());
            state.weights().models().forEach(model -> {
                long newest = state.weights().newest(model);
                List<Target> serving = targets.stream()
                        .filter(target -> target.weights(model) > 0)
                        .toList();
                if (serving.stream().anyMatch(target -> target.weights(model) < newest)) {
                    pending.add(new PendingRollout(service.name(), new WeightsVersion(model, newest), serving));
                }
            });
        }
        return pending;
    }

    private void advance(List<PendingRollout> pending) {
        long now = state.nowMillis();
        pending.forEach(each -> checkProgress(each, now));
        if (appendClient.isBusy()) {
            return;
        }
        Map<Target, WeightsVersion> batch = new HashMap<>();
        for (PendingRollout each : pending) {
            RolloutPlanner plan = planner(each);
            List<RolloutPlanner.Engine> engines = each.targets().stream()
                    .filter(target ->
                            state.admission().mayCall(target, now) || progressChecksDueAt.containsKey(target.id()))
                    .map(target -> new RolloutPlanner.Engine(
                            target.id(), target.weights(each.weights().model()), inFlight(target)))
                    .toList();
            for (RolloutPlanner.Engine next :
                    plan.nextEngines(engines, each.weights().version(), now)) {
                state.fleet()
                        .find(next.id())
                        .filter(target -> isOrderable(target, now))
                        .ifPresent(target -> batch.put(target, each.weights()));
            }
        }
        boolean held = lease.isHeld(now, System.currentTimeMillis());
        boolean free = lease.shouldAppend(now);
        if (!batch.isEmpty() && (held || free)) {
            appendLeaseRecord(batch);
        }
    }

    /** Returns whether an engine can be called now; a record of the lease is written for nothing otherwise. */
    private boolean isOrderable(Target target, long now) {
        return state.admission().mayCall(target, now) && !targetsBeingCalled.contains(target.id());
    }

    /**
     * Returns the requests in flight at an engine: its own report while its progress is checked, else the relays'
     * count.
     */
    private int inFlight(Target target) {
        Integer reported = reportedInFlight.get(target.id());
        return reported != null && progressChecksDueAt.containsKey(target.id())
                ? reported
                : target.requests(state.nowMillis());
    }

    private RolloutPlanner planner(PendingRollout rollout) {
        return planners.computeIfAbsent(
                rollout.service() + "/" + rollout.weights().model(), unseen -> new RolloutPlanner());
    }

    private void appendLeaseRecord(Map<Target, WeightsVersion> batch) {
        List<String> ids = batch.keySet().stream().map(Target::id).sorted().toList();
        long sentAt = state.nowMillis();
        long sentAtWall = System.currentTimeMillis();
        long at = lease.appendOffset();
        appendClient.call(
                store.append(Topic.ORDERS, new LeaseRecord(relayId, ids), OptionalLong.of(at)),
                APPEND_TIMEOUT_MILLIS,
                answer -> onLeaseAnswer(answer, batch, sentAt, sentAtWall, at));
    }

    private void onLeaseAnswer(
            CallResult answer, Map<Target, WeightsVersion> batch, long sentAt, long sentAtWall, long at) {
        if (timer.isClosed()) {
            return;
        }
        state.metrics().recordStoreCall("APPEND");
        StoreResponse read = answer.toAppendResponse(store);
        if (read instanceof StoreResponse.Appended appended) {
            lease.onAppended(appended.offset(), sentAt, sentAtWall);
            state.log()
                    .info(
                            "lease_taken",
                            "token",
                            Long.toString(appended.offset()),
                            "orders",
                            Integer.toString(batch.size()));
            batch.forEach(this::prepareOrder);
            return;
        }
        // A peer wrote first, or the outcome of the append is unknown: the log is read before the next attempt.
        lease.onConflict();
        follower.expectRecord();
        state.log()
                .info(
                        "lease_not_taken",
                        "at",
                        Long.toString(at),
                        "answer",
                        read.getClass().getSimpleName());
    }

    private void prepareOrder(Target target, WeightsVersion weights) {
        if (!isOrderable(target, state.nowMillis())) {
            return;
        }
        targetsBeingCalled.add(target.id());
        HttpCallClient client =
                new HttpCallClient(state.connector(), state.heldBytes(), target.registration()::address);
        long asked = state.nowMillis();
        client.call(state.platform().engines().report(Optional.of(target.id())), ENGINE_TIMEOUT_MILLIS, answer -> {
            selfReports.onCallAnswered(target, answer, asked);
            Optional<EngineReport> report = readReport(answer);
            report.ifPresent(read -> applyReport(target, read));
            boolean stale = report.isPresent() && target.weights(weights.model()) < weights.version();
            long now = state.nowMillis();
            if (!stale
                    || report.get().busy()
                    || !state.admission().mayCall(target, now)
                    || !lease.isHeld(now, System.currentTimeMillis())) {
                client.close();
                targetsBeingCalled.remove(target.id());
                return;
            }
            sendOrder(target, weights, report.get(), client);
        });
    }

    private void sendOrder(Target target, WeightsVersion weights, EngineReport report, HttpCallClient client) {
        LoadOrder order = new LoadOrder(
                weights, state.settings().instance(), lease.fencingToken(), report.acceptedOrders(), target.id());
        RolloutPlanner plan = planners.get(target.registration().service() + "/" + weights.model());
        long now = state.nowMillis();
        plan.onOrdered(target.id(), weights.version(), now);
        target.markLoadingWeights(now + LOAD_MILLIS);
        progressChecksDueAt.put(target.id(), now + FIRST_PROGRESS_CHECK_MILLIS);
        client.call(state.platform().engines().order(order), ENGINE_TIMEOUT_MILLIS, answer -> {
            selfReports.onCallAnswered(target, answer, now);
            int status = answer instanceof CallResult.Answered answered ? answered.status() : 0;
            rolloutLog.ordered(target, order, status, state.nowMillis());
            if (status == 0) {
                // The engine may load the weights later or never; until then it serves requests.
                plan.onUnanswered(target.id());
                target.markLoadingWeights(state.nowMillis());
            } else if (!state.platform().engines().isOrderAccepted(status)) {
                plan.onRefused(target.id());
                target.markLoadingWeights(state.nowMillis());
            }
            client.close();
            targetsBeingCalled.remove(target.id());
        });
    }

    /** Returns the engines that this relay has ordered and that don't serve their new weights yet. */
    public List<String> loadingTargets() {
        long now = state.nowMillis();
        return progressChecksDueAt.keySet().stream()
                .filter(id -> state.fleet()
                        .find(id)
                        .filter(target -> target.isLoadingWeights(now))
                        .isPresent())
                .toList();
    }

    /** Requests reports from ordered engines whose progress check is due. */
    private void checkProgress(PendingRollout rollout, long now) {
        for (Target target : rollout.targets()) {
            Long due = progressChecksDueAt.get(target.id());
            if (due == null || now < due || !isOrderable(target, now)) {
                continue;
            }
            if (target.weights(rollout.weights().model()) >= rollout.weights().version()) {
                progressChecksDueAt.remove(target.id());
                continue;
            }
            progressChecksDueAt.put(target.id(), now + PROGRESS_CHECK_INTERVAL_MILLIS);
            targetsBeingCalled.add(target.id());
            HttpCallClient client =
                    new HttpCallClient(state.connector(), state.heldBytes(), target.registration()::address);
            client.call(state.platform().engines().report(Optional.of(target.id())), ENGINE_TIMEOUT_MILLIS, answer -> {
                selfReports.onCallAnswered(target, answer, now);
                Optional<EngineReport> report = readReport(answer);
                report.ifPresent(read -> applyReport(target, read));
                if (report.isPresent() && !report.get().busy()) {
                    // The load has finished or never started.
                    planner(rollout).onNotLoading(target.id());
                    target.markLoadingWeights(state.nowMillis());
                }
                rolloutLog.lookedAt(target, report, rollout.weights().model());
                targetsBeingCalled.remove(target.id());
                client.close();
            });
        }
    }

    private void applyReport(Target target, EngineReport report) {
        reportedInFlight.put(target.id(), report.inFlight());
        report.weights().forEach(each -> target.confirmWeights(each.model(), each.version(), state.nowMillis()));
    }

    private Optional<EngineReport> readReport(CallResult answer) {
        if (!(answer instanceof CallResult.Answered answered)) {
            return Optional.empty();
        }
        try {
            return state.platform().engines().readReport(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            state.log().warn("report_unreadable", "reason", String.valueOf(malformed.getMessage()));
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        timer.close();
        follower.close();
        appendClient.close();
    }
}
