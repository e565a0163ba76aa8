package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.rattanrudder.core.continuation.StreamBinding;
import org.rattanrudder.core.continuation.StreamKey;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.core.fleet.MedianEstimate;
import org.rattanrudder.core.fleet.PlacementQuery;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetAdmission;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.gateway.CustomerIdentity;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.ServingConfiguration.AccessDecision;
import org.rattanrudder.core.gateway.WarmUpTraits;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.parts.ComputeEstimate;
import org.rattanrudder.core.parts.PartAccess;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.PartPlan;
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.daemon.relay.port.ForwardingMetadata;
import org.rattanrudder.daemon.relay.port.RequestDialect;
import org.rattanrudder.daemon.relay.process.RelayState;

/** The parameters of one request, which targets may run it, and the metadata sent to its target. */
final class RequestPlan {
    /** Part of the deadline already spent on the network between caller and relay. */
    private static final long CALLER_NETWORK_MILLIS = 2;

    /** Engine priorities of requests that can still be on time and of those that can't. */
    private static final int ON_TIME_PRIORITY = 4;

    private static final int LATE_PRIORITY = 7;

    /** Time within which a healthy target of a plain service answers, as a multiple of its median. */
    private static final double PLAIN_CALL_RATIO = 2;

    /** Callers that were rejected in the same rest are told times that differ by up to this much. */
    private static final long RETURN_SPREAD_MILLIS = 500;

    /** Share of the objective for which peers are waited for that may know a stream's origin. */
    private static final double ORIGIN_PATIENCE_SHARE = 0.25;

    /** Time for a question and its answer between failure domains, for routes with short objectives or none. */
    private static final long MIN_ORIGIN_PATIENCE_MILLIS = 20;

    /** How long a stream's origin is kept beyond its caller's deadline, for clocks and networks. */
    private static final long RETURN_MARGIN_MILLIS = 1_000;

    private final RelayState state;
    private final RequestMetadata metadata;
    private final ServiceRoute route;
    private final CurrentAccess access;
    private String service;
    private Optional<BackendService> backend;
    private Optional<EngineTraits> engine;
    private final long decidedBy;
    private final long arrivedAt;
    private final long deadlineAt;
    private final long contextHash;
    private final StreamBinding binding = new StreamBinding();

    /**
     * Creates the plan of a request that may be served.
     *
     * @param target the request target: a path with or without a query
     * @param decidedBy the version of the configuration by which it may
     */
    RequestPlan(
            RelayState state,
            RequestMetadata metadata,
            String target,
            AccessDecision.Granted granted,
            long decidedBy,
            long arrivedAt) {
        this.state = state;
        this.decidedBy = decidedBy;
        this.metadata = metadata;
        this.arrivedAt = arrivedAt;
        route = granted.route();
        access = new CurrentAccess(state, metadata, target, granted, decidedBy);
        selectService(route.serviceFor(metadata.id()));
        long wanted = metadata.deadlineMillis().orElse(route.timeoutMillis());
        deadlineAt = arrivedAt + Math.min(wanted - CALLER_NETWORK_MILLIS, route.timeoutMillis());
        int lastShared = metadata.parts().size() - 2;
        contextHash =
                lastShared < 0 ? 0 : Hashing.of(metadata.parts().get(lastShared).id());
    }

    private void selectService(String selected) {
        service = selected;
        backend = state.configuration()
                .flatMap(configuration ->
                        Optional.ofNullable(configuration.services().get(selected)));
        engine = backend.flatMap(BackendService::engine);
    }

    /**
     * A request as it is sent to a target.
     *
     * @param forwarding the metadata sent with it
     * @param cost its expected cost at the target
     */
    record Outgoing(ForwardingMetadata forwarding, Target.RequestCost cost) {
        /**
         * Returns the request as it is sent to the target, without its body.
         *
         * @param head the request as the caller sent it
         * @param bodyBytes the length of its body
         */
        HttpRequest toRequest(HttpRequest head, int bodyBytes, RequestDialect dialect) {
            HttpHeaders headers = dialect.forTarget(head.headers(), forwarding);
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers);
            if (bodyBytes > 0 || HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)) {
                HttpUtil.setContentLength(request, bodyBytes);
            }
            return request;
        }
    }

    String id() {
        return metadata.id();
    }

    RequestMetadata metadata() {
        return metadata;
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

    /** Returns the version of the configuration that has allowed the request and selected its route. */
    long decidedBy() {
        return decidedBy;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    long deadlineAt() {
        return deadlineAt;
    }

    long remainingMillis() {
        return deadlineAt - state.nowMillis();
    }

    /** Returns the fingerprint, which is the same each time the request is sent. */
    RequestFingerprint fingerprint(String path, ByteBuf body) {
        return RequestFingerprint.of(metadata.host(), path, customerName(), body.nioBuffer());
    }

    /** Returns what other requests may have in common with it. */
    List<Feature> features(RequestFingerprint fingerprint) {
        return Feature.of(fingerprint, customerName(), metadata.model().orElse(""), metadata.parts());
    }

    /** Returns the name of its customer; empty if the route is open to all. */
    String customerName() {
        return access.customer().map(CustomerIdentity::name).orElse("");
    }

    /** Returns the average memory use over the run, in tokens: the prompt and half of the output. */
    int tokens() {
        return metadata.promptTokens() + metadata.maxOutputTokens() / 2;
    }

    /** Returns the expected cost at a target, as far as it is known before the request is sent. */
    Target.RequestCost expectedCost() {
        return new Target.RequestCost(tokens(), metadata.promptTokens());
    }

    /** Returns the priority; that of the customer takes precedence over that of the route. */
    int priority() {
        OptionalInt own = access.customer().map(CustomerIdentity::priority).orElse(OptionalInt.empty());
        return own.orElse(route.priority());
    }

    /** Returns the time by which the request must be sent to be on time. */
    long onTimeUntil() {
        return arrivedAt + (long) (route.objectiveMillis() * HoldingQueue.ON_TIME_WAIT_RATIO);
    }

    /**
     * Returns the time until which the request stays queued once it can't be on time.
     *
     * @param hasFailedAttempt whether a target has failed it: the time lost there doesn't count
     */
    long lateUntil(boolean hasFailedAttempt, long now) {
        return hasFailedAttempt
                ? now + route.objectiveMillis()
                : Math.max(now, arrivedAt + (long) (route.objectiveMillis() * HoldingQueue.LATE_WAIT_RATIO));
    }

    /** Returns the time within which a healthy target of its plain service answers, in ms. */
    double expectedCallMillis(Target target, long now) {
        return PLAIN_CALL_RATIO * callMillis().millis() * target.capacity().slowdown(now);
    }

    /** Returns the targets that may run the request. */
    List<Target> candidates(long now) {
        return TargetAdmission.withoutResting(usable(now), now);
    }

    /** Returns after which time to send it again, in ms, if all targets that may run it want rest. */
    OptionalLong retryAfterRestMillis(long now) {
        OptionalLong rest = TargetAdmission.restMillis(usable(now), now);
        return rest.isPresent()
                ? OptionalLong.of(rest.getAsLong() + state.random().nextLong(RETURN_SPREAD_MILLIS))
                : rest;
    }

    /** Records that a target is sent the request for its customer. */
    void onSent() {
        access.fixCustomer();
    }

    /** Records that an attempt has failed; if no target may have run it, it may run for another customer. */
    void onFailed(boolean mayHaveRun) {
        if (!mayHaveRun) {
            access.releaseCustomer();
        }
    }

    /** Returns why the configuration in force no longer allows it; a stream that has begun may go on. */
    private Optional<ErrorKind> denial() {
        return binding.hasBegun() ? Optional.empty() : access.denial();
    }

    private List<Target> usable(long now) {
        if (denial().isPresent()) {
            return List.of();
        }
        List<Target> usable = state.admission().usable(service, now);
        return access.allowedRegions().names().isEmpty() && !binding.hasBegun()
                ? usable
                : usable.stream().filter(this::mayRunAt).toList();
    }

    private boolean mayRunAt(Target target) {
        return allowsDomain(target.registration().failureDomain()) && binding.admits(target.software());
    }

    /** Returns what binds the request's stream to the software that began it. */
    StreamBinding binding() {
        return binding;
    }

    /** Returns the error of a request that no target may run. */
    ErrorKind noTargetError() {
        if (denial().isPresent()) {
            return denial().get();
        }
        if (!binding.isContinuable()) {
            return ErrorKind.STREAM_ORIGIN_UNKNOWN;
        }
        return binding.hasBegun() ? ErrorKind.STREAM_SOFTWARE_UNAVAILABLE : ErrorKind.NO_TARGET;
    }

    /** Returns whether the caller has a part of the stream already, which another request brought. */
    boolean resumesStream() {
        return route.repeat().stream() && (isNamed(metadata.lastEventId()) || isNamed(metadata.resumedRequestId()));
    }

    private static boolean isNamed(Optional<String> id) {
        return id.filter(text -> !text.isBlank()).isPresent();
    }

    /** Returns the key of the stream that the caller names as the one it resumes; empty if it names none. */
    Optional<StreamKey> resumedStream() {
        return metadata.resumedRequestId().filter(id -> !id.isBlank()).map(this::streamKey);
    }

    /** Returns the key of the stream that begins with this request; empty if no later request can name it. */
    Optional<StreamKey> ownStream() {
        boolean resumable = route.repeat().stream() && route.repeat().repeatable();
        return resumable && !metadata.id().isEmpty() ? Optional.of(streamKey(metadata.id())) : Optional.empty();
    }

    private StreamKey streamKey(String requestId) {
        return StreamKey.of(customerName(), requestId);
    }

    /** Returns how long the caller may come back to resume its stream, in ms. */
    long callerRemainingMillis() {
        long wanted = metadata.deadlineMillis().orElse(route.timeoutMillis());
        return Math.max(0, arrivedAt + wanted - state.nowMillis()) + RETURN_MARGIN_MILLIS;
    }

    /** Returns how long peers are waited for that may know a stream's origin, in ms. */
    long originPatienceMillis() {
        return Math.max(MIN_ORIGIN_PATIENCE_MILLIS, (long) (route.objectiveMillis() * ORIGIN_PATIENCE_SHARE));
    }

    /**
     * Binds the request to the software that began the stream which it resumes; returns whether its route leads to
     * that software.
     *
     * @param origin the software; empty if it isn't known
     */
    boolean continueFrom(Optional<StreamOrigin> origin) {
        binding.onBegun(origin);
        Optional<String> wanted = origin.map(StreamOrigin::service)
                .filter(name -> route.services().stream()
                        .anyMatch(each -> each.service().equals(name)));
        wanted.ifPresent(this::selectService);
        return wanted.isPresent();
    }

    /** Returns how the targets of its service warm up; empty if they don't. */
    Optional<WarmUpTraits> warmUp() {
        return backend.flatMap(BackendService::warmUp);
    }

    /** Returns those of the candidates that may get another request now. */
    TargetAdmission.Admitted admitted(List<Target> candidates, long now) {
        return state.admission().admitted(candidates, warmUp(), now);
    }

    /** Returns why the request may no longer be sent to the target that was chosen for it, if so. */
    Optional<String> reasonNotToSend(Target target, long now) {
        if (denial().isPresent()) {
            return Optional.of("denied by a newer configuration");
        }
        if (!binding.admits(target.software())) {
            return Optional.of("other software");
        }
        if (metadata.model()
                .filter(name -> target.weights(name) < oldestWeights())
                .isPresent()) {
            return Optional.of("older weights");
        }
        return state.admission().reasonNotToSend(target, warmUp(), now);
    }

    /**
     * Returns whether the rate limits of all candidates delay it for longer than it may wait, even as late.
     *
     * @param ahead how many requests are sent before it
     * @param hasFailedAttempt whether a target has failed it
     */
    boolean isDelayedTooLong(int ahead, boolean hasFailedAttempt, long now) {
        return state.rateLimits().delaysTooLong(candidates(now), ahead, lateUntil(hasFailedAttempt, now) - now);
    }

    private boolean allowsDomain(String failureDomain) {
        return access.allowedRegions().allows(state.settings().regionOf(failureDomain));
    }

    /** Returns the estimate of how long calls of its plain service take. */
    MedianEstimate callMillis() {
        return state.callMillis(service, route.objectiveMillis());
    }

    PlacementQuery query(Set<String> tried, long now) {
        Optional<String> model = metadata.model();
        return new PlacementQuery(
                service,
                state.settings().failureDomain(),
                engine,
                metadata.model(),
                model.map(state.weights()::newest).orElse(0L),
                oldestWeights(),
                tokens(),
                contextHash,
                state.relayHash(),
                state.fleet().livePeerCount(now),
                engine.isPresent() ? 0 : callMillis().millis(),
                connections(now),
                tried);
    }

    private long oldestWeights() {
        return metadata.model()
                .map(name -> state.weightsAdmission().oldestToSend(name, state.atMostMillis()))
                .orElse(0L);
    }

    /**
     * Returns the time until which the request may begin at a target that was asked for a version of its weights, by
     * {@link RelayState#atMostMillis}.
     */
    long beginsUntil(OptionalLong weights) {
        return metadata.model()
                .map(name -> state.weightsAdmission().beginsUntil(name, weights.orElse(0)))
                .orElse(Long.MAX_VALUE);
    }

    private int connections(long now) {
        return backend.map(known -> known.connectionsPerRelay(state.relayCount(now)))
                .orElse(Integer.MAX_VALUE);
    }

    Outgoing outgoing(Target target, Optional<String> lastEventId) {
        Optional<Long> weights = metadata.model()
                .map(name -> state.weightsAdmission().versionToExpect(name, target.weights(name)))
                .filter(version -> version > 0);
        Optional<String> salt = weights.map(version -> PartKey.salt(version, access.customer()));
        PartPlan parts = salt.isPresent() && engine.isPresent()
                ? state.directory()
                        .plan(
                                salt.get(),
                                metadata.parts(),
                                target.registration().failureDomain(),
                                partAccess(weights.get()),
                                route.objectiveMillis(),
                                computeEstimate(target),
                                this::allowsDomain,
                                state.nowMillis())
                : PartPlan.NONE;
        if (engine.isPresent()) {
            SentPrompts.record(state, metadata, target, salt, parts);
        }
        ForwardingMetadata forwarding = new ForwardingMetadata(
                Math.max(1, remainingMillis()),
                target.id(),
                access.customer().map(CustomerIdentity::name),
                weights.map(OptionalLong::of).orElse(OptionalLong.empty()),
                salt.or(this::uniqueSalt),
                parts,
                lastEventId.or(metadata::lastEventId),
                enginePriority());
        return new Outgoing(
                forwarding,
                new Target.RequestCost(tokens(), Math.max(0, metadata.promptTokens() - parts.fetchedTokens())));
    }

    private PartAccess partAccess(long version) {
        long newest = state.weights().newest(metadata.model().orElseThrow());
        if (!state.retiredWeights().mayFetch(version, newest, state.atMostMillis())) {
            return PartAccess.NONE;
        }
        return version >= newest ? PartAccess.FETCH_AND_SAVE : PartAccess.FETCH_ONLY;
    }

    /** Returns how soon the target could start by computing shared parts; empty where learned figures don't apply. */
    private Optional<ComputeEstimate> computeEstimate(Target target) {
        long now = state.nowMillis();
        if (!target.capacity().usesLearnedFigures(now)) {
            return Optional.empty();
        }
        double ready = target.capacity().firstEventMillis(metadata.lastPartTokens(), now);
        return Optional.of(
                new ComputeEstimate(target.capacity().prefillTokensPerMilli(now), onTimeMillis(now) - ready));
    }

    /** Returns the time that is left until the objective; negative if it has passed. */
    private double onTimeMillis(long now) {
        return arrivedAt + route.objectiveMillis() - now;
    }

    /**
     * Returns a salt that no other request uses: without a known weights version, parts of different versions can't be
     * distinguished and must not be shared.
     */
    private Optional<String> uniqueSalt() {
        return engine.isPresent() ? Optional.of("request-" + metadata.id()) : Optional.empty();
    }

    private OptionalInt enginePriority() {
        if (engine.isEmpty()) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(state.nowMillis() <= onTimeUntil() ? ON_TIME_PRIORITY : LATE_PRIORITY);
    }
}
