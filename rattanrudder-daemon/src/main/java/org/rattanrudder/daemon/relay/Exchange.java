package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.Placement;
import org.rattanrudder.core.fleet.SendWindow;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.gateway.ResponseClassifier;
import org.rattanrudder.core.gateway.RetryPolicy;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;

/**
 * One request from its admission to its end: it picks a target, sends the request, passes the answer on, and goes to
 * another target where that is allowed.
 */
final class Exchange implements AnswerSink {
    /** How long before the deadline the caller gets its final answer, in ms: the way to it and a late timer. */
    private static final long ANSWER_MARGIN_MILLIS = 10;

    private final RelayState state;
    private final TargetPools pools;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final RequestPlan plan;
    private final AnswerRelay answer;
    private final ExchangeLog log;
    private final LineWait wait;
    private final QuarantineCheck quarantine;
    private final Set<String> tried = new HashSet<>();
    private ScheduledFuture<?> deadline;
    private SilenceWatch silence;
    private TargetAttempt attempt;
    private Optional<TargetAttempt> lastAttempt = Optional.empty();
    private String load = "unknown";
    private boolean ended;
    private boolean counted;
    private int runs;
    private int unrunSends;

    Exchange(
            RelayState state,
            TargetPools pools,
            CallerConnection caller,
            HttpRequest head,
            ByteBuf body,
            RequestPlan plan) {
        this.state = state;
        this.pools = pools;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.plan = plan;
        answer = new AnswerRelay(
                caller,
                state.platform().requests(),
                plan.route().repeat(),
                () -> state.metrics().recordFirstByte(plan.route().name(), state.nowMillis() - plan.arrivedAt()));
        log = new ExchangeLog(state, plan);
        wait = new LineWait(state, plan, this, log);
        quarantine = new QuarantineCheck(state, plan, head.uri(), body);
    }

    /** Begins: the request is whole and may be served. */
    void start() {
        if (ended) {
            return;
        }
        long left = Math.max(1, plan.left() - ANSWER_MARGIN_MILLIS);
        deadline = state.loop().schedule(this::deadlineReached, left, TimeUnit.MILLISECONDS);
        if (!refuseIfQuarantined()) {
            place();
        }
    }

    /** Ends the request if targets have ended under it; returns whether it did. */
    private boolean refuseIfQuarantined() {
        OptionalLong left = quarantine.leftMillis();
        if (left.isEmpty()) {
            return false;
        }
        String reason = "quarantined as " + quarantine.fingerprint();
        if (answer.began()) {
            breakOff(reason);
        } else if (runs > 0) {
            end(ErrorKind.TARGET_FAILED, reason);
        } else {
            caller.refuseFor(ErrorKind.REQUEST_QUARANTINED, plan.id(), left.getAsLong());
            finished(ErrorKind.REQUEST_QUARANTINED.wireName(), reason);
        }
        return true;
    }

    /** Sends the request to an engine with room, or waits in line for one; other services take it at once. */
    private void place() {
        if (plan.engine().isEmpty() || answer.began() || !isAnotherLeft()) {
            placeAnywhere();
            return;
        }
        if (state.holdingQueue(plan.service()).size() > 0 || !placeInWindow()) {
            wait.join(!tried.isEmpty());
        }
    }

    /** Sends the request if an engine has room for it. */
    boolean placeInWindow() {
        long now = state.nowMillis();
        boolean late = now > plan.onTimeUntil();
        List<Target> open = SendWindow.targetsWithRoom(
                        state.fleet().activeTargets(plan.service(), now),
                        plan.engine().orElseThrow(),
                        plan.tokens(),
                        late,
                        now)
                .stream()
                .filter(target -> !tried.contains(target.id()))
                .toList();
        Optional<Placement.Choice> choice = Placement.choose(open, plan.query(tried, now), now);
        choice.ifPresent(found -> {
            wait.leave();
            sendTo(found);
        });
        return choice.isPresent();
    }

    /** The line is too long for a request that will be late: it is refused, and its caller told when to come back. */
    void refuseFromLine() {
        if (!ended) {
            end(runs > 0 ? ErrorKind.TARGET_FAILED : ErrorKind.OVERLOADED, "line too long");
        }
    }

    private void placeAnywhere() {
        long now = state.nowMillis();
        List<Target> targets = state.fleet().activeTargets(plan.service(), now);
        Optional<Placement.Choice> choice = Placement.choose(targets, plan.query(tried, now), now);
        if (choice.isPresent()) {
            sendTo(choice.get());
        } else if (answer.began()) {
            breakOff("no target");
        } else if (runs > 0) {
            end(ErrorKind.TARGET_FAILED, "no target");
        } else if (targets.isEmpty()) {
            end(ErrorKind.NO_TARGET, "no target");
        } else {
            end(ErrorKind.OVERLOADED, "no target may take it");
        }
    }

    private void sendTo(Placement.Choice choice) {
        if (refuseIfQuarantined()) {
            return;
        }
        Target target = choice.target();
        tried.add(target.id());
        log.placed(choice, tried.size());
        boolean repeatable = plan.route().repeat().repeatable();
        // It counts from now on: what is placed while its connection opens would all go to the same target.
        Target.RequestCost expected = plan.expectedWork();
        target.onSent(expected, state.nowMillis());
        state.placementBroadcaster().recordPlacement(target);
        pools.acquire(target, repeatable, opened -> {
            target.onEnded(expected, false);
            connected(target, opened);
        });
    }

    private void connected(Target target, TargetConnection opened) {
        if (ended || (state.eventLoopLag().isLate(state.nowMillis()) && caller.hasLeft())) {
            if (opened != null) {
                opened.abort();
            }
            return;
        }
        if (opened == null) {
            log.failed(target.id(), AttemptOutcome.NOT_SENT, "unreachable", 0, answer.began());
            state.metrics()
                    .recordAttempt(
                            plan.service(), AttemptOutcome.NOT_SENT.name().toLowerCase(Locale.ROOT));
            goOn(AttemptOutcome.NOT_SENT, "unreachable");
            return;
        }
        send(target, opened);
    }

    private void send(Target target, TargetConnection opened) {
        RequestPlan.Outgoing outgoing = plan.outgoing(target, answer.lastEventId());
        attempt = new TargetAttempt(target, opened, outgoing, state.nowMillis());
        lastAttempt = Optional.of(attempt);
        if (!counted) {
            counted = true;
            state.retryBudget(plan.service()).onRequest(state.nowMillis());
        }
        HttpHeaders headers = state.platform().requests().forTarget(head.headers(), outgoing.forwarding());
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers);
        if (body.isReadable() || HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)) {
            HttpUtil.setContentLength(request, body.readableBytes());
        }
        opened.send(request, body.retainedDuplicate(), plan.id(), this);
        silence = new SilenceWatch(state, plan.route(), attempt, () -> pools.verify(target), this::silent);
        silence.look();
    }

    /** The target has been silent for too long: another one is tried if that is allowed. */
    private void silent(long quietMillis) {
        if (RetryPolicy.mayRetry(progress(1), AttemptOutcome.SILENT) && state.tryAcquireRetry(plan.service())) {
            attempt.connection().abort();
            closeAttempt(AttemptOutcome.SILENT, "silent for " + quietMillis + " ms");
            runs++;
            place();
        }
    }

    private RetryPolicy.Progress progress(int running) {
        return new RetryPolicy.Progress(
                plan.route(), runs + running, unrunSends, answer.began(), answer.isResumable(), plan.left());
    }

    @Override
    public void head(HttpResponse response, ResponseMetadata facts) {
        Target target = attempt.target();
        facts.load().ifPresent(told -> {
            load = told.running() + "/" + told.queued();
            target.updateReportedLoad(told.running(), told.queued(), state.nowMillis());
        });
        plan.facts()
                .model()
                .ifPresent(model ->
                        facts.weights().ifPresent(version -> target.confirmWeights(model, version, state.nowMillis())));
        ResponseClassifier.Head judged =
                new ResponseClassifier.Head(facts.status(), facts.signed(), facts.notRun(), facts.misdirected());
        switch (ResponseClassifier.classify(judged, progress(1))) {
            case FORWARD -> answer.head(response);
            case MISDIRECTED -> misdirected(target, facts);
            case REJECTED -> {
                target.onRejected(state.nowMillis());
                drop(AttemptOutcome.REJECTED, "rejected with " + facts.status());
            }
            case INVALID_RESPONSE -> {
                attempt.connection().abort();
                failed(AttemptOutcome.BROKEN, "success without a signature");
            }
            case RETRY_OR_FAIL -> drop(AttemptOutcome.FAILED, "failed with " + facts.status());
            default -> throw new IllegalStateException("unknown verdict");
        }
    }

    /** Leaves the rest of an answer unheard; its connection can be used again. */
    private void drop(AttemptOutcome outcome, String reason) {
        attempt.connection().detach();
        failed(outcome, reason);
    }

    private void misdirected(Target target, ResponseMetadata facts) {
        Optional<String> other = facts.target().filter(id -> !id.equals(target.id()));
        if (other.isPresent()) {
            state.log().warn("target_replaced", "target", target.id(), "found", other.get());
            state.fleet().removeReplaced(target.id());
        } else {
            target.onRejected(state.nowMillis());
        }
        drop(AttemptOutcome.MISDIRECTED, other.isPresent() ? "another target" : "other weights");
    }

    @Override
    public void content(ByteBuf piece) {
        if (attempt.piece(state.nowMillis())) {
            state.fetchLateness().recordFirstByte(attempt, state.directory(), state.nowMillis());
            state.dispatchQueued(plan.service());
        }
        answer.content(piece);
    }

    @Override
    public void complete() {
        if (answer.status() == 0) {
            failed(AttemptOutcome.BROKEN, "no head");
            return;
        }
        answer.complete();
        Target target = attempt.target();
        long now = state.nowMillis();
        if (answer.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            target.recordFailure(0, now);
        } else {
            quarantine.answered();
            long taken = plan.route().repeat().stream() ? attempt.firstPieceMillis() : now - attempt.sentAt();
            target.recordSuccess(taken - plan.expectedFirstMillis(), now);
        }
        endAttempt("answered");
        finished(Integer.toString(answer.status()), "passed on");
    }

    @Override
    public void broken(String reason) {
        failed(AttemptOutcome.BROKEN, reason);
    }

    /** The caller takes more, or can't for now: its target waits meanwhile. */
    void callerWritable(boolean now) {
        if (attempt != null) {
            attempt.connection().reading(now);
        }
    }

    private void failed(AttemptOutcome outcome, String reason) {
        if (!ended) {
            closeAttempt(outcome, reason);
            goOn(outcome, reason);
        }
    }

    /** An attempt has failed: goes to another target if that is allowed, else ends. */
    private void goOn(AttemptOutcome outcome, String reason) {
        if (outcome.mayHaveRun()) {
            runs++;
        } else {
            unrunSends++;
        }
        boolean useful = outcome != AttemptOutcome.REJECTED || isAnotherLeft();
        boolean allowed = useful && RetryPolicy.mayRetry(progress(0), outcome) && !quarantine.mayHaveBeenLast(outcome);
        if (allowed && (!counted || state.tryAcquireRetry(plan.service()))) {
            place();
        } else if (answer.began()) {
            breakOff(reason);
        } else {
            end(RetryPolicy.finalError(runs, outcome), reason);
        }
    }

    /** Returns whether a target is left that hasn't refused the request: asking one again at once is of no use. */
    private boolean isAnotherLeft() {
        return state.fleet().activeTargets(plan.service(), state.nowMillis()).stream()
                .anyMatch(target -> !tried.contains(target.id()));
    }

    /** Ends an attempt that failed. */
    private void closeAttempt(AttemptOutcome outcome, String reason) {
        Target target = attempt.target();
        long after = state.nowMillis() - attempt.sentAt();
        if (outcome.mayHaveRun()) {
            target.recordFailure(after, state.nowMillis());
        }
        if (outcome == AttemptOutcome.BROKEN) {
            log.broken(target.id(), reason, after, answer.began(), quarantine.fingerprint());
            quarantine.broken(target);
        } else {
            log.failed(target.id(), outcome, reason, after, answer.began());
        }
        endAttempt(outcome.name().toLowerCase(Locale.ROOT));
    }

    private void endAttempt(String outcome) {
        silence.stop();
        attempt.end();
        attempt = null;
        answer.discard();
        state.metrics().recordAttempt(plan.service(), outcome);
        state.dispatchQueued(plan.service());
    }

    private void deadlineReached() {
        giveUp(ErrorKind.DEADLINE_UNREACHABLE, "deadline");
    }

    /** The process ends while the request is served. */
    void processEnds() {
        giveUp(ErrorKind.DRAINING, "process ends");
    }

    /** Ends the request whatever becomes of its attempt; the error is for one that was never sent. */
    private void giveUp(ErrorKind unsent, String reason) {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.connection().abort();
            closeAttempt(AttemptOutcome.SILENT, reason);
            runs++;
        }
        if (answer.began()) {
            breakOff(reason);
        } else {
            end(runs > 0 ? ErrorKind.TARGET_SILENT : unsent, reason);
        }
    }

    /** The caller has gone: the target's work is of no use any more. */
    void cancelled() {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.connection().abort();
            endAttempt("cancelled");
        }
        finished("cancelled", "caller left");
    }

    private void breakOff(String reason) {
        caller.abort();
        finished("broken_off", reason);
    }

    private void end(ErrorKind error, String reason) {
        caller.refuse(error, plan.id(), plan.left());
        finished(error.wireName(), reason);
    }

    private void finished(String outcome, String reason) {
        ended = true;
        wait.leave();
        if (deadline != null) {
            deadline.cancel(false);
        }
        answer.discard();
        body.release();
        state.metrics().recordRequest(plan.route().name(), outcome);
        log.ended(outcome, reason, lastAttempt, load, runs, unrunSends);
        caller.exchangeEnded();
    }
}
