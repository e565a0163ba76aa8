package org.rattanrudder.daemon.relay.serving;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.gateway.CustomerIdentity;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.gateway.ServingConfiguration.AccessDecision;
import org.rattanrudder.core.memory.ByteUse;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * A request that is being read from a caller's connection. It is authorized by its head; one that is refused by it is
 * read on without being kept, so that its connection can be used on.
 */
final class IncomingRequest {
    /** The reason by which a request ends for which the process has no room. */
    private static final String NO_ROOM = "no room for its bytes";

    private final ServingComponents components;
    private final RelayState state;
    private final MemoryAdmission memory;
    private final HttpRequest head;
    private final String address;
    private final long arrivedAt;
    private long declaredBytes;
    private Optional<RequestMetadata> metadata = Optional.empty();
    private Optional<AccessDecision.Granted> granted = Optional.empty();
    private OptionalLong decidedBy = OptionalLong.empty();
    private Optional<ErrorKind> problem = Optional.empty();
    private Optional<Rejection> rejection = Optional.empty();
    private RequestPlan plan;
    private RequestBody body;

    /** Creates a request whose head has arrived from an address. */
    IncomingRequest(ServingComponents components, HttpRequest head, String address) {
        this.components = components;
        this.head = head;
        this.address = address;
        state = components.state();
        memory = components.memory();
        arrivedAt = state.nowMillis();
    }

    /**
     * Why an overloaded relay rejects a request that it hasn't read in full.
     *
     * @param reason the reason, as in the log
     */
    record Rejection(String reason, long retryAfterMillis) {}

    /** What comes next after a head. */
    enum Next {
        /** The body is read: it is kept, or the request was refused and it is dropped. */
        READ,
        /** The body is read once the process has room for it. */
        WAIT,
        /** The request is refused, and its body isn't read. */
        REFUSE_UNREAD
    }

    /** Decides on the request by its head. */
    Next decide() {
        if (head.decoderResult().isFailure()) {
            problem = Optional.of(decodeError(head.decoderResult().cause()));
            return Next.REFUSE_UNREAD;
        }
        try {
            metadata = Optional.of(state.platform().requests().read(head));
        } catch (IllegalArgumentException malformed) {
            problem = Optional.of(ErrorKind.MALFORMED_REQUEST);
            return Next.READ;
        }
        problem = authorize();
        int maxBytes = (int) Math.min(Integer.MAX_VALUE, state.limits().maxBodyBytes());
        declaredBytes = HttpUtil.getContentLength(head, 0L);
        if (declaredBytes > maxBytes) {
            problem = problem.or(() -> Optional.of(ErrorKind.BODY_TOO_LARGE));
            return Next.REFUSE_UNREAD;
        }
        if (isRefusedForStop()) {
            return hasBody() ? Next.REFUSE_UNREAD : Next.READ;
        }
        return isRefused() ? Next.READ : openBody(maxBytes);
    }

    /** Returns whether the request is refused because the relay is stopping; its caller should go elsewhere. */
    boolean isRefusedForStop() {
        return problem.filter(ErrorKind.DRAINING::equals).isPresent();
    }

    private boolean hasBody() {
        return declaredBytes > 0 || HttpUtil.isTransferEncodingChunked(head);
    }

    private static ErrorKind decodeError(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
    }

    private Optional<ErrorKind> authorize() {
        if (state.isRefusingRequests()) {
            return Optional.of(ErrorKind.DRAINING);
        }
        if (state.configuration().isEmpty()) {
            // Without a configuration it isn't known whether the request is valid, so the caller isn't at fault.
            return Optional.of(ErrorKind.LOG_UNAVAILABLE);
        }
        ServingConfiguration configuration = state.configuration().get();
        decidedBy = OptionalLong.of(configuration.version());
        AccessDecision access = configuration.authorize(
                metadata.get().host(), head.uri(), metadata.get().credential());
        if (access instanceof AccessDecision.Denied denied) {
            // A newer configuration may allow it, and callers repeat a request that was refused for now.
            return Optional.of(state.isConfigurationCurrent() ? denied.error() : ErrorKind.LOG_UNAVAILABLE);
        }
        granted = Optional.of((AccessDecision.Granted) access);
        if (state.isStopping()
                && !state.accepts(granted.get().route(), planForNow().deadlineAt())) {
            return Optional.of(ErrorKind.DRAINING);
        }
        if (components.queues().rejection().isOn()) {
            plan = newPlan();
            rejection = components
                    .queues()
                    .rejection()
                    .onHead(plan)
                    .map(early -> new Rejection(QueueRejection.REASON, early.retryAfterMillis()));
        }
        return Optional.empty();
    }

    private Next openBody(int maxBytes) {
        int length = declaredBytes();
        boolean small = length <= RequestBody.SMALL_BYTES;
        body = memory.body(callerName(), maxBytes);
        long headBytes = HeadSize.of(head);
        if (!body.tryHoldHead(headBytes) || small && !body.tryReserve(length)) {
            rejectForMemory(ByteUse.REQUEST, headBytes + length, memory.smallRetryMillis());
            release();
            return Next.READ;
        }
        return small ? Next.READ : Next.WAIT;
    }

    /** Returns who takes the room: the customer; the address, where the route is open to all. */
    private String callerName() {
        return granted.flatMap(AccessDecision.Granted::customer)
                .map(CustomerIdentity::name)
                .orElse(address);
    }

    /** Records that the relay has no room for the request; its caller should return after the given time. */
    void rejectForMemory(ByteUse use, long wantedBytes, long retryAfterMillis) {
        rejection = Optional.of(new Rejection(NO_ROOM, retryAfterMillis));
        memory.onRejected(use, callerName(), id(), wantedBytes);
    }

    private RequestPlan newPlan() {
        return new RequestPlan(
                state, metadata.orElseThrow(), head.uri(), granted.orElseThrow(), decidedBy.orElseThrow(), arrivedAt);
    }

    /** Returns the plan of a request that is served or rejected, by the configuration in force at the first call. */
    RequestPlan plan() {
        if (plan == null) {
            plan = newPlan();
        }
        return plan;
    }

    /** Returns the plan by the configuration in force now; a request that waits may be served by a later one. */
    RequestPlan planForNow() {
        return plan == null ? newPlan() : plan;
    }

    HttpRequest head() {
        return head;
    }

    /** Returns the body; null if it isn't kept. */
    RequestBody body() {
        return body;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the ID; empty if there is none. */
    String id() {
        return metadata.map(RequestMetadata::id).orElse("");
    }

    /** Returns why the request is refused; empty if it isn't, or if the relay is only overloaded. */
    Optional<ErrorKind> problem() {
        return problem;
    }

    /** Returns why the overloaded relay rejects the request; empty if it doesn't. */
    Optional<Rejection> rejection() {
        return rejection;
    }

    /** Returns whether the request is refused for whatever reason, so that its body is of no use. */
    boolean isRefused() {
        return problem.isPresent() || rejection.isPresent();
    }

    boolean expectsContinue() {
        return HttpUtil.is100ContinueExpected(head);
    }

    /** Returns the length of the body; 0 if it isn't known. */
    int declaredBytes() {
        return (int) declaredBytes;
    }

    /** Lets the response say that the connection isn't used on. */
    void endConnection() {
        HttpUtil.setKeepAlive(head, false);
    }

    long remainingMillis() {
        return deadlineMillis() - (state.nowMillis() - arrivedAt);
    }

    private long deadlineMillis() {
        return metadata.flatMap(known -> known.deadlineMillis().isPresent()
                        ? Optional.of(known.deadlineMillis().getAsLong())
                        : Optional.empty())
                .orElse(0L);
    }

    /** Returns whether the body comes too slowly, given when the last bytes arrived: while it is of use, or dropped. */
    boolean isOverdue(long lastReadAt) {
        long now = state.nowMillis();
        long idleTimeout = state.limits().idleTimeoutMillis();
        long allowed = isRefused() ? state.limits().headerTimeoutMillis() : Math.max(idleTimeout, deadlineMillis());
        return now - lastReadAt > idleTimeout || now - arrivedAt > allowed;
    }

    /** Drops the body and gives back what is held for the request, unless an exchange has taken it over. */
    void release() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    /** Returns the complete request's exchange, which takes over the body. */
    Exchange toExchange(CallerConnection caller) {
        RequestBody complete = body;
        body = null;
        caller.writer().setReceiver(callerName());
        return new Exchange(components, caller, head, complete.complete(), plan());
    }

    void logDenied(ErrorKind error) {
        state.metrics().recordRequest("none", error.wireName());
        state.log()
                .info(
                        "request_denied",
                        "request",
                        id(),
                        "error",
                        error.wireName(),
                        "host",
                        metadata.map(RequestMetadata::host).orElse(""),
                        "path",
                        head.uri(),
                        "decided_by",
                        decidedBy.isPresent() ? Long.toString(decidedBy.getAsLong()) : "none",
                        "configuration",
                        state.configuration()
                                .map(configuration -> Long.toString(configuration.version()))
                                .orElse("none"));
    }

    void logRejected() {
        FinalReply.Ending ending = new FinalReply.Ending(
                ErrorKind.OVERLOADED.wireName(), rejection.orElseThrow().reason());
        state.metrics().recordRequest(plan().route().name(), ending.outcome());
        new ExchangeLog(state, plan()).ended(ending, 0, 0);
    }
}
