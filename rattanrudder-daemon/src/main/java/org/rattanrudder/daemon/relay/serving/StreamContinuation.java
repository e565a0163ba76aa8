package org.rattanrudder.daemon.relay.serving;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.continuation.OriginExchange.Finding;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.streams.SoleSoftware;
import org.rattanrudder.daemon.relay.streams.StreamOriginExchange;

/** Binds one request to the software that began its stream, here or in an earlier request of its caller. */
final class StreamContinuation {
    private final RelayState state;
    private final StreamOriginExchange streamOrigins;
    private final SoleSoftware soleSoftware;
    private final RequestPlan plan;
    private final ExchangeLog log;

    StreamContinuation(ServingComponents components, RequestPlan plan, ExchangeLog log) {
        state = components.state();
        streamOrigins = components.streamOrigins();
        soleSoftware = components.soleSoftware();
        this.plan = plan;
        this.log = log;
        if (plan.route().repeat().stream()) {
            plan.metadata()
                    .deadlineMillis()
                    .ifPresent(millis -> soleSoftware.onDeadline(plan.route(), plan.customerName(), millis));
        }
    }

    /**
     * Finds out which software began the stream that the request resumes, and binds the request to it.
     *
     * @param then called once, at once if no peer has to be asked: with whether any target may continue the stream
     */
    void resume(Consumer<Boolean> then) {
        long beganAt = state.nowMillis();
        Consumer<Finding> bind = found -> then.accept(bind(found, beganAt));
        plan.resumedStream()
                .ifPresentOrElse(
                        stream -> streamOrigins.find(stream, plan.originPatienceMillis(), bind),
                        () -> soleSoftware.find(plan.route(), plan.customerName(), plan.originPatienceMillis(), bind));
    }

    private boolean bind(Finding found, long beganAt) {
        long now = state.nowMillis();
        boolean continuable =
                plan.continueFrom(found.origin()) && !plan.candidates(now).isEmpty();
        log.resumed(found, continuable, now - beganAt);
        state.metrics().recordResumption(found.source(), continuable);
        return continuable;
    }

    /** Returns why a response can't be sent on as the stream, or the rest of it, if so. */
    Optional<String> reasonNotToForward(TargetAttempt attempt, ResponseForwarder forwarder, HttpResponse response) {
        if (!forwarder.accepts(response)) {
            return Optional.of("not the stream that was begun");
        }
        boolean fits = !forwarder.bringsEvents(response) || plan.binding().admits(attempt.software());
        return fits ? Optional.empty() : Optional.of("not the software that began the stream");
    }

    /** Binds the request to the software of its attempt if that has sent the first event, and tells peers. */
    void onForwarded(TargetAttempt attempt, ResponseForwarder forwarder) {
        if (plan.binding().hasBegun() || !forwarder.hasForwardedEvent()) {
            return;
        }
        plan.binding().onBegun(attempt.software());
        plan.ownStream()
                .ifPresent(
                        stream -> streamOrigins.onBegun(stream, plan.binding().origin(), plan.callerRemainingMillis()));
    }
}
