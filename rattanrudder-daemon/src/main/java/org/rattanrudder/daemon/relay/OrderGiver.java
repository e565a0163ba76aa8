package org.rattanrudder.daemon.relay;

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
import org.rattanrudder.daemon.relay.TopicFollower.Reading;
import org.rattanrudder.daemon.relay.port.EngineDialect.EngineReport;
import org.rattanrudder.daemon.relay.port.EngineDialect.LoadOrder;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.port.WeightsVersion;

/**
 * Brings engines to the newest weights, if this relay holds the lease.
 *
 * <p>Each batch of orders begins with a record in the lease's log: it renews the lease, its offset is the fencing
 * token, and it tells the other relays which engines take no new work for a while.
 */
final class OrderGiver implements AutoCloseable {
    /** How often work is looked for while there is some, in ms: a tenth of the shortest load. */
    private static final long STEP_MILLIS = 100;

    /** How often work is looked for while there is none, in ms. */
    private static final long IDLE_STEP_MILLIS = 500;

    /** How long an engine that was ordered is left alone, in ms: weights load within about this time. */
    private static final long SWAP_MILLIS = 5_000;

    /** The same for engines that another relay has ordered, in ms; it tells while they load, see {@link #loading}. */
    private static final long OTHERS_SWAP_MILLIS = 1_500;

    /**
     * When an engine is first asked how far it is, in ms after its order, and how often then. What it says is some
     * hundred ms old, and the shortest loads take 900 ms; each question is priced like a health check.
     */
    private static final long FIRST_LOOK_MILLIS = 900;

    private static final long LOOK_EVERY_MILLIS = 200;
    private static final long CALL_MILLIS = 900;
    private static final long APPEND_MILLIS = 1_200;

    private final RelayState state;
    private final StepTimer timer;
    private final StoreDialect store;
    private final OrderLease lease;
    private final String self;
    private final TopicFollower follower;
    private final CallLine appends;
    private final Map<String, RolloutPlanner> plans = new HashMap<>();
    private final Map<String, Long> looks = new HashMap<>();
    private final Map<String, Integer> reportedInFlight = new HashMap<>();
    private final Set<String> ordering = new HashSet<>();
    private boolean answeredOnce;
    private boolean caughtUp;

    OrderGiver(RelayState state, String self) {
        this.state = state;
        timer = new StepTimer(state.loop());
        this.self = self;
        store = state.platform().store();
        lease = new OrderLease(self, state.settings().bounds().leaseMillis());
        follower = new TopicFollower(state, Topic.ORDERS, Pace.RARE, Reading.KEPT, new Records());
        appends = new CallLine(state.connector(), state::store);
    }

    void start() {
        follower.start();
        timer.next(this::step, STEP_MILLIS);
    }

    /** Takes the lease's records. */
    private final class Records implements TopicFollower.Listener {
        @Override
        public void record(KeyedRecord record) {
            // A record that can't be read takes up an offset too: the next append lands behind it.
            lease.advanceTo(record.offset() + 1);
            LeaseRecord read = store.readLease(record.value().orElseThrow());
            long now = state.nowMillis();
            lease.onRecord(record.offset(), read, now);
            // Records from before the start say nothing of now: after a restart all engines would seem to load.
            if (caughtUp && !read.holder().equals(self)) {
                read.loading()
                        .forEach(id -> state.fleet()
                                .find(id)
                                .ifPresent(target -> target.markLoadingWeights(now + OTHERS_SWAP_MILLIS)));
            }
        }

        @Override
        public void answered() {
            // The first answer holds what was written before this relay was there.
            caughtUp = answeredOnce;
            answeredOnce = true;
            lease.advanceTo(follower.readTo());
        }
    }

    /** Looks for work at once: weights were named. */
    void wake() {
        timer.next(this::step, 0);
    }

    private void step() {
        List<Work> work = work();
        if (!work.isEmpty() && !state.isDraining()) {
            proceed(work);
        }
        timer.next(this::step, work.isEmpty() ? IDLE_STEP_MILLIS : STEP_MILLIS);
    }

    /** Engines of one service that lack the newest weights of a model. */
    private record Work(String service, WeightsVersion weights, List<Target> targets) {}

    private List<Work> work() {
        List<Work> work = new ArrayList<>();
        if (state.configuration().isEmpty()) {
            return work;
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
                    work.add(new Work(service.name(), new WeightsVersion(model, newest), serving));
                }
            });
        }
        return work;
    }

    private void proceed(List<Work> work) {
        long now = state.nowMillis();
        work.forEach(each -> look(each, now));
        if (appends.isBusy()) {
            return;
        }
        Map<Target, WeightsVersion> batch = new HashMap<>();
        for (Work each : work) {
            RolloutPlanner plan = plan(each);
            List<RolloutPlanner.Engine> engines = each.targets().stream()
                    .map(target -> new RolloutPlanner.Engine(
                            target.id(), target.weights(each.weights().model()), inFlight(target)))
                    .toList();
            for (RolloutPlanner.Engine next :
                    plan.nextEngines(engines, each.weights().version(), now)) {
                if (!ordering.contains(next.id())) {
                    state.fleet().find(next.id()).ifPresent(target -> batch.put(target, each.weights()));
                }
            }
        }
        boolean mine = lease.isHeld(now, System.currentTimeMillis());
        boolean free = lease.shouldAppend(now);
        if (!batch.isEmpty() && (mine || free)) {
            append(batch);
        }
    }

    /** Returns the requests at an engine: what it reported itself if it was asked lately, else what relays know. */
    private int inFlight(Target target) {
        Integer reported = reportedInFlight.get(target.id());
        return reported != null && looks.containsKey(target.id()) ? reported : target.requests(state.nowMillis());
    }

    private RolloutPlanner plan(Work work) {
        return plans.computeIfAbsent(work.service() + "/" + work.weights().model(), unseen -> new RolloutPlanner());
    }

    private void append(Map<Target, WeightsVersion> batch) {
        List<String> ids = batch.keySet().stream().map(Target::id).sorted().toList();
        long sentAt = state.nowMillis();
        long sentAtWall = System.currentTimeMillis();
        long at = lease.appendOffset();
        appends.call(
                store.append(Topic.ORDERS, new LeaseRecord(self, ids), OptionalLong.of(at)),
                APPEND_MILLIS,
                answer -> appended(answer, batch, sentAt, sentAtWall, at));
    }

    private void appended(CallAnswer answer, Map<Target, WeightsVersion> batch, long sentAt, long sentAtWall, long at) {
        if (timer.isClosed()) {
            return;
        }
        state.metrics().storeCall("APPEND");
        StoreResponse read = answer.ofAppend(store);
        if (read instanceof StoreResponse.Appended appended) {
            lease.onAppended(appended.offset(), sentAt, sentAtWall);
            state.log()
                    .info(
                            "lease_taken",
                            "token",
                            Long.toString(appended.offset()),
                            "orders",
                            Integer.toString(batch.size()));
            batch.forEach(this::order);
            return;
        }
        // Others wrote first, or nobody knows whether this was written: the log tells before the next try.
        lease.onConflict();
        follower.readNow();
        state.log()
                .info(
                        "lease_not_taken",
                        "at",
                        Long.toString(at),
                        "answer",
                        read.getClass().getSimpleName());
    }

    private void order(Target target, WeightsVersion weights) {
        ordering.add(target.id());
        CallLine line = new CallLine(state.connector(), target.registration()::address);
        line.call(state.platform().engines().report(Optional.of(target.id())), CALL_MILLIS, answer -> {
            Optional<EngineReport> report = report(answer);
            report.ifPresent(read -> note(target, read));
            boolean stale = report.isPresent() && target.weights(weights.model()) < weights.version();
            long now = state.nowMillis();
            if (!stale || report.get().busy() || !lease.isHeld(now, System.currentTimeMillis())) {
                line.close();
                ordering.remove(target.id());
                return;
            }
            give(target, weights, report.get(), line);
        });
    }

    private void give(Target target, WeightsVersion weights, EngineReport report, CallLine line) {
        LoadOrder order = new LoadOrder(
                weights, state.settings().instance(), lease.fencingToken(), report.acceptedOrders(), target.id());
        RolloutPlanner plan = plans.get(target.registration().service() + "/" + weights.model());
        long now = state.nowMillis();
        plan.onOrdered(target.id(), weights.version(), now);
        target.markLoadingWeights(now + SWAP_MILLIS);
        looks.put(target.id(), now + FIRST_LOOK_MILLIS);
        line.call(state.platform().engines().order(order), CALL_MILLIS, answer -> {
            int status = answer instanceof CallAnswer.Answered answered ? answered.status() : 0;
            state.log()
                    .info(
                            "order_given",
                            "target",
                            target.id(),
                            "model",
                            weights.model(),
                            "version",
                            Long.toString(weights.version()),
                            "token",
                            Long.toString(order.fencingToken()),
                            "status",
                            Integer.toString(status));
            if (status == 0) {
                // It may load at any time or never; until then it serves.
                plan.onUnanswered(target.id());
                target.markLoadingWeights(state.nowMillis());
            } else if (!state.platform().engines().isOrderAccepted(status)) {
                plan.onRefused(target.id());
                target.markLoadingWeights(state.nowMillis());
            }
            line.close();
            ordering.remove(target.id());
        });
    }

    /** Returns the engines that were ordered by this relay and don't serve their new weights yet. */
    List<String> loading() {
        long now = state.nowMillis();
        return looks.keySet().stream()
                .filter(id -> state.fleet()
                        .find(id)
                        .filter(target -> target.isLoadingWeights(now))
                        .isPresent())
                .toList();
    }

    /** Asks engines that were ordered how far they are. */
    private void look(Work work, long now) {
        for (Target target : work.targets()) {
            Long due = looks.get(target.id());
            if (due == null || now < due || ordering.contains(target.id())) {
                continue;
            }
            if (target.weights(work.weights().model()) >= work.weights().version()) {
                looks.remove(target.id());
                continue;
            }
            looks.put(target.id(), now + LOOK_EVERY_MILLIS);
            ordering.add(target.id());
            CallLine line = new CallLine(state.connector(), target.registration()::address);
            line.call(state.platform().engines().report(Optional.of(target.id())), CALL_MILLIS, answer -> {
                Optional<EngineReport> report = report(answer);
                report.ifPresent(read -> note(target, read));
                if (report.isPresent() && !report.get().busy()) {
                    // Done, or never begun: the engine is free for the next order in either case.
                    plan(work).onRefused(target.id());
                    target.markLoadingWeights(state.nowMillis());
                }
                state.log()
                        .info(
                                "engine_looked_at",
                                "target",
                                target.id(),
                                "busy",
                                report.map(read -> Boolean.toString(read.busy()))
                                        .orElse("unknown"),
                                "weights",
                                Long.toString(target.weights(work.weights().model())),
                                "in_flight",
                                report.map(read -> Integer.toString(read.inFlight()))
                                        .orElse("unknown"));
                ordering.remove(target.id());
                line.close();
            });
        }
    }

    private void note(Target target, EngineReport report) {
        reportedInFlight.put(target.id(), report.inFlight());
        report.weights().forEach(each -> target.confirmWeights(each.model(), each.version(), state.nowMillis()));
    }

    private Optional<EngineReport> report(CallAnswer answer) {
        if (!(answer instanceof CallAnswer.Answered answered)) {
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
        appends.close();
    }
}
