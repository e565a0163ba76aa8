package org.rattanrudder.daemon.relay.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.rollout.LeaseAttempt;
import org.rattanrudder.core.rollout.LeaseRecord;
import org.rattanrudder.core.rollout.OrderLease;
import org.rattanrudder.core.rollout.RolloutPlanner;
import org.rattanrudder.core.rollout.RolloutPlanner.OtherOrder;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.net.StepTimer;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.port.WeightsVersion;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.store.PollIntervals;
import org.rattanrudder.daemon.relay.store.TopicFollower;
import org.rattanrudder.daemon.relay.store.TopicFollower.InitialRead;
import org.rattanrudder.daemon.relay.store.TopicListener;
import org.rattanrudder.daemon.relay.targets.SelfReports;

/**
 * Orders engines to load the newest weights while this relay holds the rollout lease.
 *
 * <p>Before each batch of orders, a record is appended to the lease's log. It renews the lease, its position is the
 * fencing token, and it lists the engines to which peers send no new work while they load.
 */
public final class RolloutCoordinator implements AutoCloseable {
    /** Poll interval while a rollout is pending: a tenth of the shortest load time. */
    private static final long POLL_INTERVAL_MILLIS = 100;

    /** Poll interval while no rollout is pending. */
    private static final long IDLE_POLL_INTERVAL_MILLIS = 500;

    /**
     * How long an engine gets no new work that a peer has ordered; the peer reports it while it loads, see {@link
     * #loadingTargets}.
     */
    private static final long PEER_LOAD_MILLIS = 1_500;

    /** Time for an answer that comes when the term is over: it tells the end of the log and how slow the store is. */
    private static final long LATE_ANSWER_MILLIS = 800;

    private final RelayState state;
    private final StepTimer timer;
    private final StoreDialect store;
    private final OrderLease lease;
    private final LeaseAttempt attempt;
    private final String holder;
    private final TopicFollower follower;
    private final HttpCallClient appendClient;
    private final Map<String, RolloutPlanner> planners = new HashMap<>();
    private final RolloutLog rolloutLog;
    private final OrderSender orders;
    private boolean answeredOnce;
    private boolean caughtUp;
    private Set<BehindTarget> lastBehind = Set.of();
    private long progressAt;

    /**
     * Creates a coordinator that reads and orders nothing until {@link #start}.
     *
     * @param relayId names this process of the relay; what follows its last hyphen is its own in the lease too
     */
    public RolloutCoordinator(RelayState state, SelfReports selfReports, String relayId) {
        this.state = state;
        timer = new StepTimer(state.loop());
        store = state.platform().store();
        rolloutLog = new RolloutLog(state);
        // A process that has bound its address is the only one there: an instance's name alone could be that of two.
        String place = state.settings().instance() + "@" + state.settings().peers();
        holder = place + "-" + relayId.substring(relayId.lastIndexOf('-') + 1);
        lease = new OrderLease(place, holder, state.settings().bounds().leaseMillis());
        attempt = new LeaseAttempt(state.random()::nextDouble);
        orders = new OrderSender(state, selfReports, lease, rolloutLog);
        follower = new TopicFollower(state, Topic.ORDERS, PollIntervals.RARE, InitialRead.KEPT, new LeaseListener());
        appendClient = new HttpCallClient(state.connector(), state.heldBytes(), state::store, state.storeCalls());
    }

    /** Starts to read the lease's log and to check for pending rollouts. */
    public void start() {
        follower.start();
        timer.reschedule(this::poll, POLL_INTERVAL_MILLIS);
    }

    /** Handles the records of the lease's log. */
    private final class LeaseListener implements TopicListener {
        @Override
        public void onRecord(KeyedRecord record) {
            // A malformed record takes up an offset too, so the next append gets a later one.
            lease.advanceTo(record.position().plus(1));
            LeaseRecord read = store.readLease(record.value().orElseThrow());
            long now = state.nowMillis();
            lease.onRecord(record.position(), read, state.clock().now());
            // Records from before the start are outdated: after a restart all engines would seem to be loading.
            if (caughtUp && !read.holder().equals(holder)) {
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
            lease.advanceTo(follower.readPosition());
        }

        @Override
        public void onNewEra() {
            answeredOnce = false;
            caughtUp = false;
            lease.onLogReturned(state.storeEra().current(), state.clock().now());
        }

        @Override
        public void onReadToEnd(Moment askedAt) {
            // A topic without records names its era by its end alone.
            lease.advanceTo(follower.readPosition());
            lease.onCaughtUp(state.clock().now());
            attempt.onReadToEnd(askedAt.atLeastMillis(), state.nowMillis());
            if (attempt.isRead()) {
                pollNow();
            }
        }
    }

    /** Polls at once, since new weights were published. */
    public void pollNow() {
        timer.reschedule(this::poll, 0);
    }

    private void poll() {
        List<PendingRollout> pending = pendingRollouts();
        logBehind(pending);
        if (pending.isEmpty()) {
            attempt.end();
            lastBehind = Set.of();
        } else {
            long now = state.nowMillis();
            noteProgress(pending, now);
            follower.pollWithin(PollIntervals.pendingMillis(state.fleet().livePeerCount(now), now - progressAt));
        }
        if (!pending.isEmpty() && !state.isDraining()) {
            advance(pending);
        }
        timer.reschedule(this::poll, pending.isEmpty() ? IDLE_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS);
    }

    private void noteProgress(List<PendingRollout> pending, long now) {
        Set<BehindTarget> behind = pending.stream()
                .flatMap(rollout -> rollout.targets().stream()
                        .filter(target -> target.weights(rollout.weights().model())
                                < rollout.weights().version())
                        .map(target -> new BehindTarget(target.id(), rollout.weights())))
                .collect(Collectors.toSet());
        if (!behind.equals(lastBehind)) {
            lastBehind = behind;
            progressAt = now;
        }
    }

    private void logBehind(List<PendingRollout> pending) {
        long now = state.nowMillis();
        boolean held = lease.isHeld(state.clock().now());
        String holder = held ? "self" : lease.lastOtherHolder();
        rolloutLog.behind(
                pending.stream()
                        .flatMap(rollout -> rollout.targets().stream()
                                .map(target ->
                                        new RolloutLog.Pending(target, rollout.weights(), orders.isCalling(target))))
                        .toList(),
                holder,
                now);
    }

    /** A model's newest weights, and the targets of a service that serve the model, not all of them in that version. */
    private record PendingRollout(String service, WeightsVersion weights, List<Target> targets) {}

    /** A target that doesn't serve a model's newest weights yet. */
    private record BehindTarget(String id, WeightsVersion weights) {}

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
                List<Target> serving =
                        targets.stream().filter(target -> target.serves(model)).toList();
                if (serving.stream().anyMatch(target -> target.weights(model) < newest)) {
                    pending.add(new PendingRollout(service.name(), new WeightsVersion(model, newest), serving));
                }
            });
        }
        return pending;
    }

    private void advance(List<PendingRollout> pending) {
        long now = state.nowMillis();
        pending.forEach(each -> orders.checkProgress(each.targets(), each.weights(), planner(each), now));
        if (appendClient.isBusy()) {
            return;
        }
        Map<Target, WeightsVersion> batch = new HashMap<>();
        pending.forEach(each -> next(each, now).stream()
                .filter(target -> orders.mayCall(target, now))
                .forEach(target -> batch.put(target, each.weights())));
        if (batch.isEmpty() ? renewsBetweenGroups(pending) : mayAppend(now)) {
            attempt.end();
            appendLeaseRecord(batch);
        }
    }

    /** A peer would take the lease while a group loads, and have to wait for the engines of that group. */
    private boolean renewsBetweenGroups(List<PendingRollout> pending) {
        Moment now = state.clock().now();
        return !state.storeRoute().isRefused()
                && lease.isHeld(now)
                && lease.shouldAppend(now)
                && lease.termMillis() < 2 * OrderLease.LEASE_MILLIS
                && !orders.loadingTargets().isEmpty()
                && pending.stream()
                        .anyMatch(rollout -> rollout.targets().stream()
                                .anyMatch(target ->
                                        target.weights(rollout.weights().model())
                                                        < rollout.weights().version()
                                                && !orders.isLookedAt(target)));
    }

    private boolean mayAppend(long now) {
        if (state.storeRoute().isRefused()) {
            // A store that answers nothing may write the record all the same, and all others would wait for this relay.
            return false;
        }
        if (lease.isHeld(state.clock().now())) {
            return true;
        }
        if (!lease.shouldAppend(state.clock().now())) {
            return false;
        }
        if (lease.isLastWriter()) {
            return true;
        }
        attempt.begin(now, state.fleet().livePeerCount(now)).ifPresent(delay -> timer.later(follower::pollNow, delay));
        if (attempt.needsRead(now)) {
            follower.pollNow();
        }
        return attempt.isRead();
    }

    /** Engines whose reports came after the end of the lease go first: they can be ordered as soon as it is renewed. */
    private List<Target> next(PendingRollout rollout, long now) {
        List<Target> reported = rollout.targets().stream()
                .filter(target -> orders.awaitsOrder(target, rollout.weights(), now))
                .filter(target -> byOther(target, now) == OtherOrder.NONE)
                .toList();
        return reported.isEmpty() ? nextByPlan(rollout, now) : reported;
    }

    private List<Target> nextByPlan(PendingRollout rollout, long now) {
        List<RolloutPlanner.Engine> engines = rollout.targets().stream()
                .filter(target -> state.admission().mayCall(target, now) || orders.isLookedAt(target))
                .map(target -> new RolloutPlanner.Engine(
                        target.id(),
                        target.weights(rollout.weights().model()),
                        orders.inFlight(target),
                        byOther(target, now)))
                .toList();
        return planner(rollout).nextEngines(engines, rollout.weights().version(), now).stream()
                .flatMap(next -> state.fleet().find(next.id()).stream())
                .toList();
    }

    private OtherOrder byOther(Target target, long now) {
        if (lease.mayName(target.id(), state.clock().now())) {
            return OtherOrder.NONE;
        }
        return target.isLoadingWeights(now) ? OtherOrder.LOADING : OtherOrder.RECENT;
    }

    private RolloutPlanner planner(PendingRollout rollout) {
        return planner(rollout.service(), rollout.weights());
    }

    private RolloutPlanner planner(Target target, WeightsVersion weights) {
        return planner(target.registration().service(), weights);
    }

    private RolloutPlanner planner(String service, WeightsVersion weights) {
        return planners.computeIfAbsent(service + "/" + weights.model(), unseen -> new RolloutPlanner());
    }

    /** A record that is appended at a position, and when that was asked for. */
    private record SentRecord(LeaseRecord record, LogPosition position, Moment at) {}

    private void appendLeaseRecord(Map<Target, WeightsVersion> batch) {
        List<String> ids = batch.keySet().stream().map(Target::id).sorted().toList();
        Moment sentAt = state.clock().now();
        LogPosition position = lease.appendPosition();
        SentRecord sent =
                new SentRecord(new LeaseRecord(holder, lease.termMillis(), ids, position.era()), position, sentAt);
        appendClient.call(
                store.append(
                        Topic.ORDERS,
                        sent.record(),
                        OptionalLong.of(sent.position().offset())),
                sent.record().termMillis() + LATE_ANSWER_MILLIS,
                answer -> onLeaseAnswer(state.storeEra().accept(answer), batch, sent));
    }

    private void onLeaseAnswer(CallResult answer, Map<Target, WeightsVersion> batch, SentRecord sent) {
        if (timer.isClosed()) {
            return;
        }
        state.metrics().recordStoreCall("APPEND");
        StoreResponse read = answer.toAppendResponse(store, state.storeEra().current());
        Moment now = state.clock().now();
        if (read instanceof StoreResponse.Appended appended
                && lease.onAppended(appended.position(), sent.record(), sent.at(), now)) {
            state.log()
                    .info(
                            "lease_taken",
                            "token",
                            Long.toString(lease.fencingToken()),
                            "orders",
                            Integer.toString(batch.size()),
                            "taken_ms",
                            Long.toString(now.atMostMillis() - sent.at().atMostMillis()),
                            "term_ms",
                            Long.toString(sent.record().termMillis()));
            batch.forEach((target, weights) -> orders.order(target, weights, planner(target, weights)));
            return;
        }
        // A peer wrote first, or it isn't known what was read before it: the log is read before the next attempt.
        if (answer instanceof CallResult.Answered) {
            lease.onConflict();
        } else {
            lease.onUnanswered();
        }
        follower.expectRecord();
        state.log()
                .info(
                        "lease_not_taken",
                        "at",
                        sent.position().toString(),
                        "answer",
                        read.getClass().getSimpleName(),
                        "taken_ms",
                        Long.toString(now.atMostMillis() - sent.at().atMostMillis()));
    }

    /** Returns the engines that this relay has ordered and that don't serve their new weights yet. */
    public List<String> loadingTargets() {
        return orders.loadingTargets();
    }

    @Override
    public void close() {
        timer.close();
        follower.close();
        appendClient.close();
    }
}
