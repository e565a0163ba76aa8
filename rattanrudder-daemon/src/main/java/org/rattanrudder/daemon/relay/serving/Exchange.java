package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.HoldingQueue;
import org.rattanrudder.core.fleet.Placement;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.gateway.ResponseClassifier;
import org.rattanrudder.core.gateway.ResponseCompleteness;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.gateway.RetryPolicy;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.quarantine.QuarantineCheck;
import org.rattanrudder.daemon.relay.targets.ResponseSink;
import org.rattanrudder.daemon.relay.targets.TargetConnection;

/**
 * Serves one request from admission to its end: picks a target, sends the request, forwards the response, and retries
 * on another target where that is allowed.
 */
final class Exchange implements ResponseSink {
    /** How long before the deadline the caller gets its final response: covers network time and a late timer. */
    private static final long ANSWER_MARGIN_MILLIS = 10;

    private final ServingComponents components;
    private final RelayState state;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final RequestPlan plan;
    private final ResponseForwarder forwarder;
    private final ExchangeLog log;
    private final FinalReply reply;
    private final QueueWait queueWait;
    private final QuarantineCheck quarantine;
    private final AttemptHistory history = new AttemptHistory();
    private final TargetSelection selection;
    private final StreamContinuation continuation;
    private ScheduledFuture<?> deadline;
    private InactivityMonitor inactivity;
    private TargetAttempt attempt;
    private boolean ended;

    Exchange(ServingComponents components, CallerConnection caller, HttpRequest head, ByteBuf body, RequestPlan plan) {
        this.components = components;
        state = components.state();
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.plan = plan;
        forwarder = new ResponseForwarder(
                caller.writer(),
                state.platform().requests(),
                plan.route().repeat(),
                () -> state.metrics().recordFirstByte(plan.route().name(), state.nowMillis() - plan.arrivedAt()));
        selection = new TargetSelection(components, plan, history);
        log = new ExchangeLog(state, plan);
        continuation = new StreamContinuation(components, plan, log);
        reply = new FinalReply(state, caller.writer(), plan);
        queueWait = new QueueWait(components, plan, this, log);
        quarantine = components.quarantineCheck(plan, head.uri(), body);
    }

    /** Starts the exchange; the request has been read in full and is admitted. */
    void start() {
        if (ended) {
            return;
        }
        long left = Math.max(1, plan.remainingMillis() - ANSWER_MARGIN_MILLIS);
        deadline = state.loop().schedule(this::onDeadline, left, TimeUnit.MILLISECONDS);
        if (refuseIfQuarantined()) {
            return;
        }
        if (plan.resumesStream()) {
            continuation.resume(this::onOriginFound);
        } else {
            place();
        }
    }

    /** Places a request that resumes a stream, or rejects it if no target may continue the stream. */
    private void onOriginFound(boolean continuable) {
        if (continuable && !ended) {
            place();
        } else {
            refuse(plan.noTargetError(), "no target may continue the stream");
        }
    }

    /** Ends the request if it is quarantined because targets crashed while running it; returns whether it did. */
    private boolean refuseIfQuarantined() {
        OptionalLong left = quarantine.remainingMillis();
        if (left.isEmpty()) {
            return false;
        }
        String reason = "quarantined for " + quarantine.cause();
        finish(reply.quarantined(forwarder.hasBegun(), history.mayHaveRun(), reason, left.getAsLong()));
        return true;
    }

    /** Sends the request to a target with room, or queues it. One that was sent before waits for no plain service. */
    private void place() {
        boolean sentBefore = !history.triedTargets().isEmpty();
        boolean waits = plan.engine().isPresent() ? !forwarder.hasBegun() : !sentBefore;
        if (!waits || !selection.hasUntried()) {
            placeOnAnyTarget();
            return;
        }
        HoldingQueue<Exchange> queue = components.queues().holdingQueue(plan.service());
        if (queue.allMatch(Exchange::isBound) && tryPlace()) {
            return;
        }
        if (plan.isDelayedTooLong(queue.size(), sentBefore, state.nowMillis())) {
            refuse(ErrorKind.OVERLOADED, "rate limits of all targets");
        } else {
            queueWait.join(sentBefore);
        }
    }

    /** Sends the request if a target has room for it; returns whether it was sent. */
    boolean tryPlace() {
        Optional<Placement.Choice> choice = selection.selectWithRoom();
        choice.ifPresent(found -> {
            queueWait.leaveToBeSent();
            sendTo(found);
        });
        return choice.isPresent();
    }

    /** Returns whether only targets of certain software may run it; others needn't wait behind it for these. */
    boolean isBound() {
        return plan.binding().hasBegun();
    }

    /** Rejects the request, which hasn't run and isn't at a target; the response says when to retry. */
    void refuseUntil(String reason, long retryAfterMillis) {
        finish(reply.failUntil(ErrorKind.OVERLOADED, reason, retryAfterMillis));
    }

    /** Returns whether the request may be told that it hasn't run, and waits for the same targets as others. */
    boolean mayBeRejectedEarly() {
        return !ended && !history.mayHaveRun() && !isBound();
    }

    RequestPlan plan() {
        return plan;
    }

    /** Returns whether any target may run the request. */
    boolean hasCandidate() {
        return selection.hasCandidate();
    }

    /** Ends the request before its response has begun, unless it has ended; the error says that it hasn't run. */
    void refuse(ErrorKind notRun, String reason) {
        if (!ended) {
            finish(reply.fail(history.mayHaveRun() ? ErrorKind.TARGET_FAILED : notRun, reason));
        }
    }

    private void placeOnAnyTarget() {
        Optional<Placement.Choice> choice = selection.selectAny();
        if (choice.isPresent()) {
            sendTo(choice.get());
        } else {
            finish(reply.unplaceable(forwarder.hasBegun(), history.mayHaveRun(), selection.hasCandidate()));
        }
    }

    private void sendTo(Placement.Choice choice) {
        if (refuseIfQuarantined() || endIfOverdue() || refuseIfOutlivingProcess()) {
            return;
        }
        Target target = choice.target();
        history.onPlaced(target);
        Optional<String> lastEventId = forwarder.lastEventId().or(plan.metadata()::lastEventId);
        log.placed(choice, history.triedTargets().size(), lastEventId);
        boolean repeatable = plan.route().repeat().repeatable();
        // Counted from now on: otherwise all requests placed while the connection opens would go to the same target.
        Target.RequestCost expected = plan.expectedCost();
        target.onSent(expected, state.nowMillis());
        target.reserveSend(state.nowMillis());
        components.placements().recordPlacement(target);
        components.pools().acquire(target, plan.id(), repeatable, opened -> {
            target.onEnded(expected, false);
            onConnected(target, opened);
        });
    }

    /**
     * Ends the request if its deadline has passed; returns whether it had. While the loop is late, connections open and
     * engines become free in iterations in which the timer of the deadline hasn't run.
     */
    private boolean endIfOverdue() {
        if (plan.remainingMillis() > 0) {
            return false;
        }
        onDeadline();
        return true;
    }

    /** Returns whether the request hasn't run, and may still run when the process ends. */
    boolean mayOutliveProcess() {
        return !history.mayHaveRun() && !state.finishesBeforeStop(plan.route(), plan.deadlineAt());
    }

    /** Rejects the request, which hasn't run: the process may end first. */
    void refuseForStop() {
        refuse(ErrorKind.DRAINING, "the process may end first");
    }

    private boolean refuseIfOutlivingProcess() {
        boolean refused = mayOutliveProcess();
        if (refused) {
            refuseForStop();
        }
        return refused;
    }

    private void onConnected(Target target, TargetConnection opened) {
        boolean left = state.isEventLoopLate() && caller.hasDisconnected();
        if (ended || left || endIfOverdue()) {
            target.cancelSend();
            if (opened != null) {
                opened.abort();
            }
            return;
        }
        if (opened == null) {
            onNotSent(target, "unreachable");
            return;
        }
        if (refuseIfQuarantined() || refuseIfOutlivingProcess()) {
            target.cancelSend();
            components.pools().release(target, opened);
            return;
        }
        Optional<String> reason = plan.reasonNotToSend(target, state.nowMillis());
        if (reason.isPresent()) {
            components.pools().release(target, opened);
            onNotSent(target, reason.get());
        } else {
            send(target, opened);
        }
    }

    private void onNotSent(Target target, String reason) {
        target.cancelSend();
        log.failed(target.id(), AttemptOutcome.NOT_SENT, reason, 0, forwarder.hasBegun());
        state.metrics().recordFailedAttempt(plan.service(), AttemptOutcome.NOT_SENT);
        retryOrEnd(AttemptOutcome.NOT_SENT, reason);
    }

    private void send(Target target, TargetConnection opened) {
        RequestPlan.Outgoing outgoing = plan.outgoing(target, forwarder.lastEventId());
        plan.onSent();
        attempt = new TargetAttempt(target, opened, outgoing, state.nowMillis());
        quarantine.onSent();
        log.sent(attempt);
        target.onRequestSent(state.nowMillis());
        components.selfReports().onRequestSent(target);
        if (history.onSent()) {
            state.retryBudget(plan.service()).onRequest(state.nowMillis());
        }
        HttpRequest request =
                outgoing.toRequest(head, body.readableBytes(), state.platform().requests());
        opened.send(request, body.retainedDuplicate(), plan.id(), this);
        inactivity = new InactivityMonitor(
                components,
                plan,
                attempt,
                this::onInactive,
                () -> abortAttempt(AttemptOutcome.WITHDRAWN, "weights too old to begin"));
        inactivity.check();
    }

    /** Called when the target has been inactive for too long: retries on another target if that is allowed. */
    private void onInactive(long idleMillis) {
        if (RetryPolicy.mayRetry(history.progress(plan, forwarder, 1), AttemptOutcome.SILENT)
                && state.tryAcquireRetry(plan.service())) {
            attempt.connection().abort();
            failAttempt(AttemptOutcome.SILENT, "silent for " + idleMillis + " ms");
            history.onFailed(AttemptOutcome.SILENT);
            place();
        }
    }

    @Override
    public void onHead(HttpResponse response, ResponseMetadata metadata) {
        Target target = attempt.target();
        metadata.selfReport().load().ifPresent(log::loadReported);
        components.selfReports().onResponse(target, metadata, attempt.sentAt());
        attempt.recordHead(metadata, plan.metadata().model(), state.nowMillis());
        ResponseClassifier.Head classified = new ResponseClassifier.Head(
                metadata.status(), metadata.signed(), metadata.notRun(), metadata.misdirected());
        switch (ResponseClassifier.classify(classified, history.progress(plan, forwarder, 1))) {
            case FORWARD -> onForwardable(response);
            case MISDIRECTED ->
                discardResponse(
                        AttemptOutcome.MISDIRECTED, components.selfReports().onMisdirected(target, metadata));
            case REJECTED -> {
                target.onRejected(state.nowMillis());
                discardResponse(AttemptOutcome.REJECTED, "rejected with " + metadata.status());
            }
            case INVALID_RESPONSE -> abortAttempt(AttemptOutcome.BROKEN, "success without a signature");
            case RETRY_OR_FAIL -> discardResponse(AttemptOutcome.FAILED, "failed with " + metadata.status());
            default -> throw new IllegalStateException("unknown verdict");
        }
    }

    private void onForwardable(HttpResponse response) {
        Optional<String> reason = continuation.reasonNotToForward(attempt, forwarder, response);
        if (reason.isPresent()) {
            abortAttempt(AttemptOutcome.BROKEN, reason.get());
        } else {
            forwarder.head(response);
        }
    }

    private void abortAttempt(AttemptOutcome outcome, String reason) {
        attempt.connection().abort();
        onAttemptFailed(outcome, reason);
    }

    /** Ignores the rest of a response; its connection can be reused. */
    private void discardResponse(AttemptOutcome outcome, String reason) {
        attempt.connection().detach();
        onAttemptFailed(outcome, reason);
    }

    @Override
    public void onContent(ByteBuf chunk) {
        if (attempt.onContent(state.nowMillis())) {
            attempt.recordFirstByte(
                    plan, forwarder.status(), components.fetchLateness(), state.directory(), state.nowMillis());
            components.queues().dispatchQueued(plan.service());
        }
        quarantine.onContent(attempt.sentAt(), attempt::isFirstProofOfRunning);
        forwarder.content(chunk);
        if (caller.writer().hasOverflowed()) {
            abandon(ErrorKind.OVERLOADED, "no room for the response");
            return;
        }
        continuation.onForwarded(attempt, forwarder);
        if (!caller.writer().takesMore()) {
            attempt.connection().setReading(false);
        }
    }

    @Override
    public void onEnd(ResponseEnd end) {
        attempt.recordBodyEnd(end, forwarder.position());
        state.metrics().recordResponseEnd(plan.service(), end, forwarder.position());
        Optional<String> incomplete = ResponseCompleteness.reasonIncomplete(end, forwarder.position());
        if (incomplete.isPresent()) {
            onAttemptFailed(AttemptOutcome.BROKEN, incomplete.get());
        } else {
            onComplete();
        }
    }

    private void onComplete() {
        if (forwarder.status() == 0) {
            onAttemptFailed(AttemptOutcome.BROKEN, "no head");
            return;
        }
        forwarder.complete();
        long now = state.nowMillis();
        if (attempt.recordComplete(plan, forwarder.status(), now)) {
            quarantine.onAnswered(attempt.sentAt(), forwarder.status());
        }
        state.durations(plan.route()).record(now - plan.arrivedAt());
        endAttempt();
        state.metrics().recordAttempt(plan.service(), "answered");
        finish(new FinalReply.Ending(Integer.toString(forwarder.status()), "passed on"));
    }

    /** Pauses or resumes reading from the target after the caller has taken some of its response, or too little. */
    void onCallerProgress() {
        if (attempt != null) {
            attempt.connection().setReading(caller.writer().takesMore());
        }
    }

    private void onAttemptFailed(AttemptOutcome outcome, String reason) {
        if (!ended) {
            failAttempt(outcome, reason);
            retryOrEnd(outcome, reason);
        }
    }

    /** Retries a failed attempt on another target if that is allowed, or ends the request. */
    private void retryOrEnd(AttemptOutcome outcome, String reason) {
        history.onFailed(outcome);
        plan.onFailed(history.mayHaveRun());
        boolean onlySame = outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.NOT_SENT && isBound();
        boolean worthwhile = !onlySame || selection.hasUntried();
        boolean allowed = worthwhile
                && RetryPolicy.mayRetry(history.progress(plan, forwarder, 0), outcome)
                && !quarantine.mayHaveCausedLastCrash(outcome);
        if (allowed && (!history.isSent() || state.tryAcquireRetry(plan.service()))) {
            place();
        } else if (forwarder.hasBegun()) {
            finish(reply.abort(reason));
        } else {
            finish(reply.fail(RetryPolicy.finalError(history.possibleRuns(), outcome), reason));
        }
    }

    /** Records and ends a failed attempt. */
    private void failAttempt(AttemptOutcome outcome, String reason) {
        Target target = attempt.target();
        long after = attempt.recordFailure(outcome, state.nowMillis());
        if (outcome == AttemptOutcome.BROKEN) {
            log.broken(attempt, reason, after, forwarder.hasBegun(), quarantine.fingerprint());
            quarantine.onConnectionBroken(target, attempt.sentAt());
        } else {
            log.failed(target.id(), outcome, reason, after, forwarder.hasBegun());
        }
        endAttempt();
        state.metrics().recordFailedAttempt(plan.service(), outcome);
    }

    private void endAttempt() {
        inactivity.stop();
        attempt.finish();
        // Paused for a slow caller, it would never read the response to its next request.
        attempt.connection().setReading(true);
        attempt = null;
        forwarder.discard();
        components.queues().dispatchQueued(plan.service());
    }

    private void onDeadline() {
        state.durations(plan.route()).record(state.nowMillis() - plan.arrivedAt());
        abandon(ErrorKind.DEADLINE_UNREACHABLE, "deadline");
    }

    /** Gives the caller a final response since the process ends soon; one that has begun may go on until the cut. */
    boolean onShutdown() {
        return !forwarder.hasBegun() && cut();
    }

    /** Ends the request since the process ends now; returns true. */
    boolean cut() {
        abandon(ErrorKind.DRAINING, "process ends");
        return true;
    }

    /** Ends the request regardless of its attempt's state; the error is for one that was never sent. */
    private void abandon(ErrorKind unsent, String reason) {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.connection().abort();
            failAttempt(AttemptOutcome.SILENT, reason);
            history.onFailed(AttemptOutcome.SILENT);
        }
        if (forwarder.hasBegun()) {
            finish(reply.abort(reason));
        } else {
            finish(reply.fail(history.mayHaveRun() ? ErrorKind.TARGET_SILENT : unsent, reason));
        }
    }

    /** Cancels the request after the caller disconnected; the target's work is of no more use. */
    void onCallerDisconnected() {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.connection().abort();
            endAttempt();
            state.metrics().recordAttempt(plan.service(), "cancelled");
        }
        finish(new FinalReply.Ending("cancelled", "caller left"));
    }

    private void finish(FinalReply.Ending ending) {
        ended = true;
        queueWait.leave();
        if (deadline != null) {
            deadline.cancel(false);
        }
        forwarder.discard();
        body.release();
        state.metrics().recordRequest(plan.route().name(), ending.outcome());
        log.ended(ending, history.possibleRuns(), history.unexecutedSends());
        caller.onExchangeEnded();
    }
}
