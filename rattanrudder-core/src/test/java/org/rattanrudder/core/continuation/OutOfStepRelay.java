package org.rattanrudder.core.continuation;

import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.rattanrudder.core.continuation.OutOfStepLog.Entry;
import org.rattanrudder.core.continuation.OutOfStepModel.Guard;
import org.rattanrudder.core.continuation.UnnamedStreams.Question;
import org.rattanrudder.core.fleet.Fleet;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetRegistration;
import org.rattanrudder.core.gateway.RepeatRule;
import org.rattanrudder.core.gateway.RouteTable;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.WeightedService;
import org.rattanrudder.core.model.Address;

/** A relay that reads both logs now and then, by a clock that stands still while it does. */
final class OutOfStepRelay {
    private final OutOfStepLog targets;
    private final OutOfStepLog routes;
    private final Set<Guard> guards;
    private final Fleet fleet = new Fleet();
    private final UnnamedStreams streams;
    private Optional<String> service = Optional.empty();
    private int targetsRead = -1;
    private int routesRead = -1;
    private long hiddenMillis;
    private long cutOffUntil;
    private Optional<Listing> listing = Optional.empty();

    /** The first page of a listing. */
    private record Listing(Set<String> keys, int end) {}

    OutOfStepRelay(OutOfStepLog targets, OutOfStepLog routes, Set<Guard> guards) {
        this.targets = targets;
        this.routes = routes;
        this.guards = guards;
        streams = new UnnamedStreams(
                fleet::softwareSince, () -> guards.contains(Guard.LATE_SENDS) ? OutOfStepModel.LATE_SEND_MILLIS : 0);
    }

    private long clock(long now) {
        return now - hiddenMillis;
    }

    void standStill(long millis) {
        hiddenMillis += millis;
    }

    void cutOff(long until) {
        cutOffUntil = until;
    }

    Optional<String> service() {
        return service;
    }

    List<String> known(String wanted) {
        return fleet.usableTargets(wanted, 0).stream().map(Target::id).toList();
    }

    /** Reads all that was written, unless it is cut off. */
    void read(long now) {
        if (now >= cutOffUntil) {
            readRoutes(now);
            readTargets(now);
        }
    }

    /** Reads one of the logs, or one page of it. */
    void readPartly(long now) {
        if (now < cutOffUntil) {
            return;
        }
        if (targetsRead < targets.firstKept() && listing.isEmpty()) {
            List<Entry> all = targets.newest();
            List<Entry> page = all.subList(0, all.size() / 2);
            listing = Optional.of(new Listing(apply(page, now), targets.end()));
        } else {
            readTargets(now);
        }
    }

    private void readTargets(long now) {
        if (targetsRead < targets.firstKept()) {
            Listing first = listing.orElse(new Listing(Set.of(), targets.end()));
            listing = Optional.empty();
            Set<String> keys = apply(
                    targets.newest().stream()
                            .filter(entry -> !first.keys().contains(entry.key()))
                            .toList(),
                    now);
            keys.addAll(first.keys());
            fleet.applyListing(keys, position(first.end()), clock(now));
            targetsRead = first.end();
        } else {
            apply(targets.from(targetsRead), now);
            targetsRead = targets.end();
        }
    }

    private Set<String> apply(List<Entry> entries, long now) {
        Set<String> keys = new HashSet<>();
        for (Entry entry : entries) {
            keys.add(entry.key());
            fleet.apply(entry.key(), registration(entry), position(entry.offset()), clock(now));
        }
        return keys;
    }

    private static Optional<TargetRegistration> registration(Entry entry) {
        return entry.isRemoval()
                ? Optional.empty()
                : Optional.of(new TargetRegistration(
                        entry.key(),
                        TargetRegistration.START_UNKNOWN,
                        entry.service(),
                        new Address("10.0.0.1", 80),
                        "north",
                        8,
                        false,
                        Map.of("m", 1L),
                        OptionalLong.empty(),
                        Optional.of(entry.version())));
    }

    private void readRoutes(long now) {
        if (routesRead == routes.end()) {
            return;
        }
        boolean missed = routesRead < routes.firstKept() || routes.end() - routesRead > 1;
        Entry newest = routes.last("route");
        service = Optional.of(newest.service());
        streams.onConfiguration(new RouteTable(List.of(route())), clock(now));
        if (missed && guards.contains(Guard.MISSED_ROUTES)) {
            streams.onConfigurationsMissed(clock(now));
        }
        routesRead = routes.end();
    }

    private ServiceRoute route() {
        return new ServiceRoute(
                "check",
                "depot.example",
                "/check/",
                RepeatRule.STREAM_RESUMABLE,
                OutOfStepModel.PATIENCE_MILLIS / 2,
                400,
                300,
                1,
                List.of(new WeightedService(service.orElseThrow(), 1)),
                2,
                true);
    }

    /**
     * A caller's return, and what the logs have answered to this relay's reads after it; the answers may wait for long.
     */
    record Return(Question question, boolean confirmed) {}

    /** Asks both logs whether anything is unread. */
    Optional<Return> ask(long now) {
        if (service.isEmpty() || now < cutOffUntil) {
            return Optional.empty();
        }
        boolean confirmed = (targetsRead == targets.end() || !guards.contains(Guard.TARGETS_CONFIRMED))
                && (routesRead == routes.end() || !guards.contains(Guard.ROUTES_CONFIRMED));
        return Optional.of(new Return(streams.ask(route(), "", clock(now)), confirmed));
    }

    /** Returns the software that began the stream, if that is certain. */
    Optional<StreamOrigin> conclude(Return back, long now) {
        return back.confirmed() ? streams.conclude(back.question(), clock(now)).sole() : Optional.empty();
    }
}
