package org.rattanrudder.standins.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.Fleet;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.PermitShares;
import org.rattanrudder.core.fleet.Placement;
import org.rattanrudder.core.fleet.PlacementQuery;
import org.rattanrudder.core.fleet.RateLimitAdmission;
import org.rattanrudder.core.fleet.RateLimitNotice;
import org.rattanrudder.core.fleet.ReportSchedule;
import org.rattanrudder.core.fleet.RestNotice;
import org.rattanrudder.core.fleet.SelfReport;
import org.rattanrudder.core.fleet.SendWindow;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetAdmission;
import org.rattanrudder.core.fleet.TargetRegistration;
import org.rattanrudder.core.fleet.WarmUpAdmission;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.RetirementReport;
import org.rattanrudder.core.rollout.VersionQuestion;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.standins.model.ModelPolicy.RestWay;

/** A relay with the decisions of a real one and a network in virtual time. */
final class ModelRelay {
    private static final String SERVICE = "llm";
    private static final String MODEL = "m";

    private static final double WAY_MILLIS = 0.5;
    private static final double GATHER_MILLIS = 5;
    private static final double GATHER_ENDS_MILLIS = 25;
    private static final double ADMISSION_MILLIS = 50;
    private static final double DIAL_MILLIS = 2;
    private static final double DIAL_FAILS_MILLIS = 100;
    private static final double DIAL_AGAIN_MILLIS = 1_000;
    private static final double TOKEN_BYTES = 18_432;

    private final VirtualTime time;
    private final String name;
    private final String domain;
    private final ModelPolicy policy;
    private final EngineTraits traits;
    private final Map<String, ModelEngine> engines;
    private final ModelStore store;
    private final ModelTally tally;
    private final Fleet fleet = new Fleet();
    private final PermitShares shares = new PermitShares();
    private final TargetAdmission admission = new TargetAdmission(
            fleet, new WarmUpAdmission(fleet.evacuations(), shares), new RateLimitAdmission(shares));
    private final ReportSchedule schedule = new ReportSchedule();
    private final HoldingQueue<ModelRequest> line = new HoldingQueue<>();
    private final List<ModelRelay> peers = new ArrayList<>();
    private final Set<Target> unsaid = new LinkedHashSet<>();
    private final Map<ModelRequest, HoldingQueue.QueuedRequest<ModelRequest>> places = new HashMap<>();
    private long sequence;
    private long rounds;
    private boolean soon;
    private boolean drainsSoon;

    ModelRelay(
            VirtualTime time,
            String name,
            String domain,
            ModelPolicy policy,
            ModelDay day,
            Map<String, ModelEngine> engines,
            ModelStore store,
            ModelTally tally) {
        this.time = time;
        this.name = name;
        this.domain = domain;
        this.policy = policy;
        this.engines = engines;
        this.store = store;
        this.tally = tally;
        traits = new EngineTraits(day.costs().slots(), day.costs().memoryTokens(), (long) TOKEN_BYTES, TOKEN_BYTES);
        fleet.onLogAvailable(0);
    }

    /** Makes an engine known. */
    void knows(String engine, String engineDomain, long offset) {
        TargetRegistration entry = new TargetRegistration(
                engine,
                TargetRegistration.START_UNKNOWN,
                SERVICE,
                new Address("engine", 80),
                engineDomain,
                traits.slots(),
                false,
                Map.of(MODEL, 1L));
        fleet.apply(engine, Optional.of(entry), new LogPosition(0, offset), time.millis());
    }

    /** Begins to tell the others of its work. */
    void start(List<ModelRelay> others, double firstMillis) {
        peers.addAll(others);
        Map<String, String> domains = new HashMap<>(Map.of(name, domain));
        for (ModelRelay other : others) {
            domains.put(other.name, other.domain);
            schedule.addRelay(other.name, other.domain, other.domain.equals(domain), 0);
        }
        shares.updateRelays(name, domains);
        if (policy.sharing()) {
            fleet.updateRelays(name, domains);
        }
        time.afterMillis(firstMillis, this::tellAll);
    }

    private void tellAll() {
        List<LoadReport.TargetLoad> work = fleet.all(time.millis()).stream()
                .filter(target -> target.inFlight() > 0)
                .map(Target::ownLoad)
                .toList();
        if (policy.wholeEveryMillis() == 0) {
            for (ReportSchedule.Due due : schedule.nextRound(time.millis())) {
                Set<String> hearers = Set.copyOf(due.relays());
                tell(true, work, due.intervalMillis(), peer -> hearers.contains(peer.name));
            }
            time.afterMillis(ReportSchedule.ROUND_MILLIS, this::tellAll);
            return;
        }
        boolean far = rounds++ % policy.farEvery() == 0;
        tell(true, work, policy.wholeEveryMillis(), peer -> far || peer.domain.equals(domain));
        time.afterMillis(policy.wholeEveryMillis(), this::tellAll);
    }

    private void tellChanged() {
        if (unsaid.isEmpty()) {
            return;
        }
        List<LoadReport.TargetLoad> work = unsaid.stream().map(Target::ownLoad).toList();
        Set<String> sharers = unsaid.stream()
                .flatMap(target -> target.sharingRelays().stream())
                .collect(Collectors.toSet());
        unsaid.clear();
        tell(
                false,
                work,
                0,
                peer -> policy.sharing()
                        ? sharers.contains(peer.name)
                        : policy.atOnceFar() || peer.domain.equals(domain));
    }

    private void tell(boolean whole, List<LoadReport.TargetLoad> work, long everyMillis, Predicate<ModelRelay> hears) {
        LoadReport load = new LoadReport(
                name,
                sequence++,
                whole,
                work,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                true,
                new LoadReport.ReadPositions(
                        LogPosition.START, LogPosition.START, LogPosition.START, LogPosition.START),
                List.of(),
                whole ? seenLimits() : List.of(),
                List.of(),
                List.of(),
                RetirementReport.NONE,
                VersionQuestion.NONE,
                everyMillis);
        for (ModelRelay peer : peers) {
            if (hears.test(peer)) {
                tally.message();
                time.afterMillis(WAY_MILLIS, () -> peer.heard(name, load));
            }
        }
    }

    private List<LoadReport.SeenRateLimit> seenLimits() {
        long now = time.millis();
        return fleet.all(now).stream()
                .flatMap(target -> target.rateLimitToReport(now).stream())
                .toList();
    }

    private void heard(String relay, LoadReport load) {
        schedule.onReport(relay, time.millis());
        fleet.applyLoadReport(load, time.millis());
    }

    private void changed(Target target) {
        if (!policy.atOnce()) {
            return;
        }
        if (unsaid.isEmpty() || !soon) {
            soon = true;
            time.afterMillis(GATHER_MILLIS, this::tellChanged);
        }
        unsaid.add(target);
    }

    private void done(Target target) {
        if (!policy.atOnce() || !policy.endsToo()) {
            return;
        }
        if (unsaid.isEmpty()) {
            soon = false;
            time.afterMillis(GATHER_ENDS_MILLIS, this::tellChanged);
        }
        unsaid.add(target);
    }

    /** Takes a request. */
    void take(ModelRequest request) {
        if (line.size() == 0 && sendIfRoom(request)) {
            return;
        }
        long now = time.millis();
        long onTimeUntil = request.arrivedAt() + (long) (request.kind().objectiveMillis() * policy.heldShare());
        long lateUntil = request.arrivedAt() + (long) (request.kind().objectiveMillis() * policy.lateShare());
        HoldingQueue.QueuedRequest<ModelRequest> place = line.add(
                request,
                request.kind().rank(),
                request.tokens(),
                Math.max(now, onTimeUntil),
                Math.max(now, lateUntil),
                request.deadlineAt());
        places.put(request, place);
        time.afterMillis(Math.max(1, onTimeUntil - now), this::expire);
        time.afterMillis(Math.max(2, lateUntil - now), this::expire);
    }

    private void expire() {
        long allowed = HoldingQueue.maxLateTokens(engines.size(), 1 + peers.size());
        line.expire(time.millis(), allowed).forEach(place -> {
            places.remove(place.request());
            place.request().refused();
        });
        drain();
    }

    private void drain() {
        line.dispatch(this::sendIfRoom, job -> false);
    }

    private boolean sendIfRoom(ModelRequest request) {
        long now = time.millis();
        boolean late = now > request.arrivedAt() + request.kind().objectiveMillis() * policy.heldShare();
        List<Target> active = TargetAdmission.withoutResting(admission.usable(SERVICE, now), now);
        if (policy.rest() == RestWay.ALL_RETURN) {
            active.forEach(target -> target.onAccepted(now));
        }
        List<Target> admitted = policy.keepsLimits()
                ? admission.admitted(active, Optional.empty(), now).targets()
                : active;
        List<Target> open = SendWindow.targetsWithRoom(admitted, traits, request.tokens(), late, now);
        Optional<Placement.Choice> choice = Placement.choose(open, query(request), now);
        choice.ifPresent(found -> send(request, found.target()));
        if (choice.isEmpty() && admitted.size() < active.size() && !drainsSoon) {
            drainsSoon = true;
            time.afterMillis(ADMISSION_MILLIS, () -> {
                drainsSoon = false;
                drain();
            });
        }
        return choice.isPresent();
    }

    private PlacementQuery query(ModelRequest request) {
        return new PlacementQuery(
                SERVICE,
                domain,
                Optional.of(traits),
                Optional.of(MODEL),
                1,
                1,
                request.tokens(),
                Hashing.of(request.context().id()),
                policy.ownOrder() ? Hashing.of(name) : 0,
                policy.ownOrder() ? peers.size() : 0,
                0,
                Integer.MAX_VALUE,
                Set.of());
    }

    private void send(ModelRequest request, Target target) {
        HoldingQueue.QueuedRequest<ModelRequest> place = places.remove(request);
        if (place != null) {
            line.remove(place);
        }
        Target.RequestCost expected = new Target.RequestCost(request.tokens(), request.promptTokens());
        if (policy.countPlaced()) {
            target.onSent(expected, time.millis());
            changed(target);
        }
        target.reserveSend(time.millis());
        target.onDialStarted(time.millis());
        boolean answers = !engines.get(target.id()).isDark();
        time.afterMillis(answers ? DIAL_MILLIS : DIAL_FAILS_MILLIS, () -> {
            if (policy.countPlaced()) {
                target.onEnded(expected, false);
            }
            dialled(request, target, answers);
        });
    }

    private void dialled(ModelRequest request, Target target, boolean opened) {
        target.onDialFinished(opened, time.millis());
        if (!opened) {
            target.cancelSend();
            time.afterMillis(DIAL_AGAIN_MILLIS, () -> dialAgain(target));
            take(request);
            return;
        }
        new Attempt(request, target).begin();
    }

    private void dialAgain(Target target) {
        if (!target.isUnreachable()) {
            return;
        }
        boolean opened = !engines.get(target.id()).isDark();
        target.onDialStarted(time.millis());
        target.onDialFinished(opened, time.millis());
        if (opened) {
            drain();
        } else {
            time.afterMillis(DIAL_AGAIN_MILLIS, () -> dialAgain(target));
        }
    }

    /** One request at one engine. */
    private final class Attempt implements ModelJob.Listener {
        private final ModelRequest request;
        private final Target target;
        private final ModelEngine engine;
        private final Target.RequestCost work;
        private final ModelJob job;
        private long sentAt;
        private boolean begun;
        private boolean over;

        Attempt(ModelRequest request, Target target) {
            this.request = request;
            this.target = target;
            engine = engines.get(target.id());
            work = new Target.RequestCost(request.tokens(), request.unread(store, time.millis()));
            job = new ModelJob(
                    request.shared(),
                    request.ownTokens(),
                    request.outputTokens(),
                    request.kind().rank(),
                    this);
        }

        void begin() {
            sentAt = time.millis();
            target.onRequestSent(sentAt);
            tally.sentTo(target.id(), engine.namedLimit(), sentAt);
            target.onSent(work, time.millis());
            changed(target);
            tally.sent(tally.workAt(target.id()) + request.tokens(), traits.capacityTokens());
            tally.placed(target.id(), request.tokens());
            engine.take(job);
            time.after((request.deadlineAt() - time.millis()) * 1_000, this::deadline);
        }

        private void deadline() {
            if (!over) {
                engine.cancel(job);
                end();
                request.ended(OptionalInt.empty());
            }
        }

        private void end() {
            over = true;
            target.onEnded(work, begun);
            done(target);
            tally.placed(target.id(), -request.tokens());
            drain();
        }

        @Override
        public void token(int number) {
            if (!begun) {
                begun = true;
                RateLimitNotice notice = engine.namedLimit().isPresent()
                        ? new RateLimitNotice.Limited(engine.namedLimit().getAsDouble())
                        : new RateLimitNotice.NotLimited();
                hear(new RestNotice.NotAsked(), notice);
                target.onAccepted(sentAt);
                target.onFirstByte(work);
                done(target);
                request.first(time.millis());
                drain();
            }
        }

        private void hear(RestNotice rest, RateLimitNotice limit) {
            SelfReport report = new SelfReport(Optional.empty(), OptionalLong.empty(), limit, rest, false);
            target.recordSelfReport(report, true, sentAt, time.millis());
        }

        @Override
        public void ended() {
            end();
            request.ended(OptionalInt.of(job.made()));
        }

        @Override
        public void rejected(OptionalLong restMillis) {
            end();
            target.onRejected(time.millis());
            tally.turnedAway(target.id(), time.millis());
            if (restMillis.isPresent() && policy.rest() != RestWay.PASSED_OVER) {
                hear(new RestNotice.Asked(restMillis.getAsLong()), new RateLimitNotice.Unreadable());
                time.afterMillis(restMillis.getAsLong(), ModelRelay.this::drain);
            }
            take(request);
        }
    }
}
