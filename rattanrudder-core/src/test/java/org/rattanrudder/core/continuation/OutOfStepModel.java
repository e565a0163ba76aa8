package org.rattanrudder.core.continuation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.rattanrudder.core.continuation.OutOfStepLog.Entry;

/**
 * Some relays before targets that join, leave and crash, on a route that is moved, with callers who name no stream.
 *
 * <p>All times are milliseconds of real time; relays have clocks of their own, which stand still while they do.
 */
final class OutOfStepModel {
    /** How long a caller comes back, and for how long others use what has been removed or moved. */
    static final long PATIENCE_MILLIS = 1_000;

    static final long LATE_SEND_MILLIS = 900;

    private static final int RELAYS = 3;
    private static final int MAX_STEP_MILLIS = 120;
    private static final List<String> SERVICES = List.of("llm", "llm-next");

    private final SplittableRandom random;
    private final OutOfStepLog targets = new OutOfStepLog();
    private final OutOfStepLog routes = new OutOfStepLog();
    private final List<OutOfStepRelay> relays = new ArrayList<>();
    private final List<Stream> streams = new ArrayList<>();
    private final List<Pending> pending = new ArrayList<>();
    private long now;
    private int nextTarget;
    private int resumptions;
    private int continued;

    /** A part of the proof that a stream's beginning is certain. */
    enum Guard {
        /** All registrations were read that had been written when the request came. */
        TARGETS_CONFIRMED,
        /** The same of configurations. */
        ROUTES_CONFIRMED,
        /** Configurations that were never read begin the routes' history anew. */
        MISSED_ROUTES,
        /** Others may still use what this relay has read to be removed or moved. */
        LATE_SENDS
    }

    /** A caller's return that waits for answers of the logs. */
    private record Pending(Stream stream, OutOfStepRelay relay, OutOfStepRelay.Return back) {}

    /** One caller's stream, and the software of all that sent events of it. */
    private record Stream(long begunAt, Set<StreamOrigin> software) {}

    OutOfStepModel(long seed, Set<Guard> guards) {
        random = new SplittableRandom(seed);
        routes.put("route", SERVICES.get(0), "", now);
        register(SERVICES.get(0), "v1");
        register(SERVICES.get(1), "v1");
        for (int relay = 0; relay < RELAYS; relay++) {
            relays.add(new OutOfStepRelay(targets, routes, guards));
        }
        relays.forEach(relay -> relay.read(now));
    }

    int joinedStreams() {
        return (int)
                streams.stream().filter(stream -> stream.software().size() > 1).count();
    }

    int resumptions() {
        return resumptions;
    }

    int continued() {
        return continued;
    }

    private void register(String service, String version) {
        targets.put("i-" + nextTarget++, service, version, now);
    }

    /** Lets time pass, and one thing happen. */
    void step() {
        now += random.nextInt(MAX_STEP_MILLIS);
        OutOfStepRelay relay = any(relays);
        switch (random.nextInt(12)) {
            case 0 -> change();
            case 1 -> relay.standStill(random.nextInt(1_500));
            case 2 -> relay.cutOff(now + random.nextInt(3_000));
            case 3, 4, 5, 6 -> relay.read(now);
            case 7 -> relay.readPartly(now);
            case 8, 9 -> begin(relay);
            default -> comeBack(relay);
        }
        concludeSome(3);
    }

    /** One software serves, and all relays read all the time. */
    void serveInCalm(int steps) {
        for (int step = 0; step < steps; step++) {
            now += MAX_STEP_MILLIS;
            relays.forEach(each -> each.read(now));
            begin(any(relays));
            if (now > PATIENCE_MILLIS + LATE_SEND_MILLIS) {
                comeBack(any(relays));
                concludeSome(1);
            }
        }
    }

    private void change() {
        switch (random.nextInt(6)) {
            case 0, 1 -> register(any(SERVICES), random.nextInt(3) == 0 ? "v2" : "v1");
            case 2 -> routes.put("route", any(SERVICES), "", now);
            case 3 -> targets.forgetOld();
            case 4 -> routes.forgetOld();
            default ->
                targets.newest().stream()
                        .filter(entry -> random.nextInt(3) == 0)
                        .forEach(entry -> targets.remove(entry.key(), now));
        }
    }

    private <T> T any(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private void begin(OutOfStepRelay relay) {
        // A relay that has read of a move or a removal only late uses what was there for a bounded time.
        Optional<String> service = relay.service().filter(name -> routes.heldSince("route", name, oldestUsable()));
        service.flatMap(name -> serving(relay, name, Optional.empty()))
                .ifPresent(entry -> streams.add(new Stream(now, new HashSet<>(Set.of(software(entry))))));
    }

    private long oldestUsable() {
        return now - LATE_SEND_MILLIS;
    }

    private static StreamOrigin software(Entry entry) {
        return new StreamOrigin(entry.service(), entry.version());
    }

    /** Returns a target that the relay knows and that serves, of one version if one is given. */
    private Optional<Entry> serving(OutOfStepRelay relay, String service, Optional<String> version) {
        List<Entry> found = relay.known(service).stream()
                .filter(id -> targets.heldSince(id, oldestUsable()))
                .map(targets::last)
                .filter(entry -> version.isEmpty() || version.get().equals(entry.version()))
                .toList();
        return found.isEmpty() ? Optional.empty() : Optional.of(any(found));
    }

    private void comeBack(OutOfStepRelay relay) {
        List<Stream> waiting = streams.stream()
                .filter(stream -> now - stream.begunAt() <= PATIENCE_MILLIS)
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        resumptions++;
        Stream stream = any(waiting);
        relay.ask(now).ifPresent(back -> pending.add(new Pending(stream, relay, back)));
    }

    /** Handles answers of the logs, some of which have waited while their relays stood still. */
    private void concludeSome(int oneIn) {
        for (Pending each : List.copyOf(pending)) {
            if (random.nextInt(oneIn) == 0) {
                pending.remove(each);
                each.relay().conclude(each.back(), now).ifPresent(origin -> goOn(each, origin));
            }
        }
    }

    private void goOn(Pending each, StreamOrigin origin) {
        serving(each.relay(), origin.service(), Optional.of(origin.softwareVersion()))
                .ifPresent(entry -> {
                    continued++;
                    each.stream().software().add(software(entry));
                });
    }
}
