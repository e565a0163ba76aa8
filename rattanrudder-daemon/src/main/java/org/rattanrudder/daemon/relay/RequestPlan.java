package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.core.fleet.PlacementQuery;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.gateway.CustomerIdentity;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.ServingConfiguration.AccessDecision;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.PartPlan;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.daemon.relay.port.ForwardingMetadata;

/** What holds for a request from its admission to its end, and what it needs of a target. */
final class RequestPlan {
    /** What the way from the caller has already cost of its deadline, in ms. */
    private static final long WAY_MILLIS = 2;

    /**
     * How long before the bound on old weights they are given up, in ms: the naming took a while to be read, and a
     * request may wait in the engine's queue before it begins.
     */
    private static final long OLD_WEIGHTS_MARGIN_MILLIS = 2_000;

    /** The rank at an engine of a request that can be on time, and of one that can't. */
    private static final int ON_TIME_RANK = 4;

    private static final int LATE_RANK = 7;

    /** Time to the first byte that a healthy target needs beside reading the prompt, in ms. */
    private static final double ENGINE_BASE_MILLIS = 80;

    private static final double TOKENS_PER_MILLI = 100;
    private static final double PLAIN_BASE_MILLIS = 150;

    private final RelayState state;
    private final RequestMetadata facts;
    private final ServiceRoute route;
    private final Optional<CustomerIdentity> customer;
    private final String service;
    private final Optional<BackendService> backend;
    private final Optional<EngineTraits> engine;
    private final long arrivedAt;
    private final long deadlineAt;
    private final long contextHash;

    RequestPlan(RelayState state, RequestMetadata facts, AccessDecision.Granted granted, long arrivedAt) {
        this.state = state;
        this.facts = facts;
        this.arrivedAt = arrivedAt;
        route = granted.route();
        customer = granted.customer();
        service = route.serviceFor(facts.id());
        backend = state.configuration()
                .flatMap(configuration ->
                        Optional.ofNullable(configuration.services().get(service)));
        engine = backend.flatMap(BackendService::engine);
        long wanted = facts.deadlineMillis().orElse(route.timeoutMillis());
        deadlineAt = arrivedAt + Math.min(wanted - WAY_MILLIS, route.timeoutMillis());
        int lastShared = facts.parts().size() - 2;
        contextHash =
                lastShared < 0 ? 0 : Hashing.of(facts.parts().get(lastShared).id());
    }

    /**
     * A request as it is sent to a target.
     *
     * @param forwarding what the target is told beside it
     * @param work the work that it is there
     */
    record Outgoing(ForwardingMetadata forwarding, Target.RequestCost work) {
        /** Returns how long a healthy engine needs to the first byte if its fetches take no time, in ms. */
        double millisWithoutFetch() {
            return ENGINE_BASE_MILLIS + work.prefillTokens() / TOKENS_PER_MILLI;
        }
    }

    String id() {
        return facts.id();
    }

    RequestMetadata facts() {
        return facts;
    }

    ServiceRoute route() {
        return route;
    }

    String service() {
        return service;
    }

    Optional<EngineTraits> engine() {
        return engine;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    long deadlineAt() {
        return deadlineAt;
    }

    long left() {
        return deadlineAt - state.nowMillis();
    }

    /** Returns what is the same whenever the request comes. */
    RequestFingerprint fingerprint(String path, ByteBuf body) {
        String name = customer.map(CustomerIdentity::name).orElse("");
        return RequestFingerprint.of(facts.host(), path, name, body.nioBuffer());
    }

    /** Returns the memory that it takes over its run, in tokens: its prompt, and half of its output on average. */
    int tokens() {
        return facts.promptTokens() + facts.maxOutputTokens() / 2;
    }

    /** Returns the work that it is for a target as far as is known before it is sent. */
    Target.RequestCost expectedWork() {
        return new Target.RequestCost(tokens(), facts.promptTokens());
    }

    /** Returns its rank: the customer's priority goes before the route's. */
    int rank() {
        OptionalInt own = customer.map(CustomerIdentity::priority).orElse(OptionalInt.empty());
        return own.orElse(route.priority());
    }

    /** Returns until when it must be sent to be on time. */
    long onTimeUntil() {
        return arrivedAt + (long) (route.objectiveMillis() * HoldingQueue.ON_TIME_WAIT_RATIO);
    }

    /** Returns until when it waits in line once it can't be on time. */
    long lateUntil() {
        return arrivedAt + (long) (route.objectiveMillis() * HoldingQueue.LATE_WAIT_RATIO);
    }

    /** Returns how long a healthy target needs to the first byte, in ms. */
    double expectedFirstMillis() {
        return engine.isPresent() ? ENGINE_BASE_MILLIS + facts.promptTokens() / TOKENS_PER_MILLI : PLAIN_BASE_MILLIS;
    }

    PlacementQuery query(Set<String> tried, long now) {
        long allowed = state.settings().bounds().weightsMillis() - OLD_WEIGHTS_MARGIN_MILLIS;
        Optional<String> model = facts.model();
        return new PlacementQuery(
                service,
                state.settings().failureDomain(),
                engine,
                facts.model(),
                model.map(state.weights()::newest).orElse(0L),
                model.map(name -> state.weights().oldestAllowed(name, allowed, now))
                        .orElse(0L),
                tokens(),
                contextHash,
                state.relayHash(),
                state.fleet().livePeerCount(now),
                connections(now),
                tried);
    }

    private int connections(long now) {
        return backend.map(known -> known.connectionsPerRelay(state.relayCount(now)))
                .orElse(Integer.MAX_VALUE);
    }

    Outgoing outgoing(Target target, Optional<String> lastEventId) {
        Optional<Long> weights = facts.model().map(target::weights).filter(version -> version > 0);
        Optional<String> salt = weights.map(version -> PartKey.salt(version, customer));
        PartPlan parts = salt.isPresent() && engine.isPresent()
                ? state.directory()
                        .plan(
                                salt.get(),
                                facts.parts(),
                                target.registration().failureDomain(),
                                weights.get()
                                        >= state.weights().newest(facts.model().get()),
                                route.objectiveMillis(),
                                state.nowMillis())
                : PartPlan.NONE;
        if (engine.isPresent()) {
            noteParts(target, salt, parts);
        }
        ForwardingMetadata forwarding = new ForwardingMetadata(
                Math.max(1, left()),
                target.id(),
                customer.map(CustomerIdentity::name),
                weights.map(OptionalLong::of).orElse(OptionalLong.empty()),
                salt.or(this::saltOfItsOwn),
                parts,
                lastEventId.or(facts::lastEventId),
                engineRank());
        return new Outgoing(
                forwarding, new Target.RequestCost(tokens(), Math.max(0, facts.promptTokens() - readTokens(parts))));
    }

    /** Weights that aren't known can't be told apart: nothing of this request may be found by another one. */
    private Optional<String> saltOfItsOwn() {
        return engine.isPresent() ? Optional.of("request-" + facts.id()) : Optional.empty();
    }

    private OptionalInt engineRank() {
        if (engine.isEmpty()) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(state.nowMillis() <= onTimeUntil() ? ON_TIME_RANK : LATE_RANK);
    }

    private void noteParts(Target target, Optional<String> salt, PartPlan parts) {
        int read = count(parts.sources());
        int saved = count(parts.destinations());
        state.metrics().recordParts("read", read);
        state.metrics().recordParts("saved", saved);
        state.log()
                .info(
                        "request_sent",
                        "request",
                        facts.id(),
                        "target",
                        target.id(),
                        "salt",
                        salt.orElse("own"),
                        "shared_parts",
                        Integer.toString(Math.max(0, facts.parts().size() - 1)),
                        "read",
                        Integer.toString(read),
                        "saved",
                        Integer.toString(saved),
                        "parts",
                        PartsText.of(facts.parts(), parts.choices()));
    }

    private static int readTokens(PartPlan parts) {
        return parts.sources().stream()
                .mapToInt(source -> source.map(PartPlan.Source::tokens).orElse(0))
                .sum();
    }

    private static int count(List<? extends Optional<?>> places) {
        return (int) places.stream().filter(Optional::isPresent).count();
    }
}
