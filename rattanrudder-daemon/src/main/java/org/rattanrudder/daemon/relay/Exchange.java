package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.HoldingLine;
import org.rattanrudder.core.fleet.Placement;
import org.rattanrudder.core.fleet.PlacementQuery;
import org.rattanrudder.core.fleet.SendWindow;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.gateway.AttemptRules;
import org.rattanrudder.core.gateway.BackendService;
import org.rattanrudder.core.gateway.CustomerIdentity;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.gateway.RequestFacts;
import org.rattanrudder.core.gateway.ServiceRoute;
import org.rattanrudder.core.gateway.ServingConfiguration.Admittance;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.PartPlan;
import org.rattanrudder.core.routing.Hashing;
import org.rattanrudder.daemon.relay.port.AnswerFacts;
import org.rattanrudder.daemon.relay.port.Forwarding;

/**
 * One request from its admission to its end: it picks a target, sends the request, passes the answer on, and goes to
 * another target where that is allowed.
 */
final class Exchange implements AnswerSink {
    /** An answer of a plain service up to this size is passed on only when it is whole, so that it can be replaced. */
    private static final int HELD_BYTES = 256 * 1024;

    /** How long before the caller's deadline it gets its final answer, in ms: the way to it and a late timer. */
    private static final long ANSWER_MARGIN_MILLIS = 10;

    /** What the way from the caller has already cost of its deadline, in ms. */
    private static final long WAY_MILLIS = 2;

    /** How long weights may be old before the bound on it, in ms: the naming took a while to be read. */
    private static final long OLD_WEIGHTS_MARGIN_MILLIS = 1_500;

    /** Silence before a stream's first event, as a multiple of the objective, after which another target is tried. */
    private static final double FIRST_EVENT_PATIENCE = 2.0;

    /** Silence between events, as a multiple of the longest pause that is on time. */
    private static final double PAUSE_PATIENCE = 2.5;

    /** By how much longer a target is waited for that serves other requests. */
    private static final int ALIVE_PATIENCE = 3;

    /** The part of the objective after which a repeatable plain request is tried at another target. */
    private static final double PLAIN_PATIENCE = 0.9;

    /** The part of the objective that a request waits in line; what is left must do for reading its prompt. */
    private static final double HELD_SHARE = 0.5;

    /** The rank at an engine of a request that can be on time, and of one that can't. */
    private static final int ON_TIME_RANK = 4;

    private static final int LATE_RANK = 7;

    private static final double ENGINE_BASE_MILLIS = 80;
    private static final double TOKENS_PER_MILLI = 100;
    private static final double PLAIN_BASE_MILLIS = 150;
    private static final long FULL_PAUSE_MILLIS = 200;
    private static final long SWAP_PAUSE_MILLIS = 400;
    private static final int FIRST_FAILURE = 500;

    private final RelayState state;
    private final TargetPools pools;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final RequestFacts facts;
    private final ServiceRoute route;
    private final Optional<CustomerIdentity> customer;
    private final String service;
    private final Optional<EngineTraits> engine;
    private final long arrivedAt;
    private final long deadlineAt;
    private final Set<String> tried = new HashSet<>();
    private final Optional<EventTail> tail;
    private ScheduledFuture<?> deadline;
    private ScheduledFuture<?> patience;
    private HoldingLine.Place<Exchange> place;
    private ScheduledFuture<?> waiting;
    private Target.Work work = new Target.Work(0, 0);
    private Target target;
    private TargetConnection connection;
    private long sentAt;
    private long lastPieceAt;
    private long firstPieceMillis;
    private boolean attemptBegan;
    private boolean answerBegan;
    private boolean ended;
    private boolean counted;
    private int runs;
    private int unrunSends;
    private String load = "unknown";
    private HttpResponse heldHead;
    private ByteBuf held;

    Exchange(
            RelayState state,
            TargetPools pools,
            CallerConnection caller,
            HttpRequest head,
            ByteBuf body,
            RequestFacts facts,
            Admittance.Granted granted,
            long arrivedAt) {
        this.state = state;
        this.pools = pools;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.facts = facts;
        this.arrivedAt = arrivedAt;
        route = granted.route();
        customer = granted.customer();
        service = route.serviceFor(facts.id());
        engine = state.configuration()
                .flatMap(configuration ->
                        Optional.ofNullable(configuration.services().get(service)))
                .flatMap(BackendService::engine);
        long wanted = facts.deadlineMillis().orElse(route.timeoutMillis());
        deadlineAt = arrivedAt + Math.min(wanted - WAY_MILLIS, route.timeoutMillis());
        tail = route.repeat().stream() && route.repeat().repeatable() ? Optional.of(new EventTail()) : Optional.empty();
    }

    /** Begins: the request is whole and may be served. */
    void start() {
        long left = Math.max(1, deadlineAt - ANSWER_MARGIN_MILLIS - state.now());
        deadline = state.loop().schedule(this::deadlineReached, left, TimeUnit.MILLISECONDS);
        place();
    }

    private long left() {
        return deadlineAt - state.now();
    }

    /** Sends the request to an engine with room, or waits in line for one; other services take it at once. */
    private void place() {
        if (engine.isEmpty() || runs > 0) {
            placeAnywhere();
            return;
        }
        long now = state.now();
        if (state.line(service).size() == 0 && placeInWindow()) {
            return;
        }
        place = state.line(service).join(this, rank(), tokens(), Math.max(now, onTimeUntil()), deadlineAt);
        long wait = Math.max(1, place.onTimeUntilMillis() - now);
        waiting = state.loop().schedule(() -> state.expireLine(service), wait, TimeUnit.MILLISECONDS);
        state.log()
                .info(
                        "request_held",
                        "request",
                        facts.id(),
                        "service",
                        service,
                        "in_line",
                        Integer.toString(state.line(service).size()),
                        "until_ms",
                        Long.toString(wait));
    }

    /** Sends the request if an engine has room for it. */
    boolean placeInWindow() {
        long now = state.now();
        boolean late = now > onTimeUntil();
        List<Target> open = SendWindow.open(state.fleet().of(service, now), engine.orElseThrow(), tokens(), late, now);
        PlacementQuery query = query(now);
        Optional<Placement.Choice> choice = Placement.choose(
                open.stream().filter(each -> !tried.contains(each.id())).toList(), query, now);
        choice.ifPresent(found -> {
            leaveLine();
            sendTo(found);
        });
        return choice.isPresent();
    }

    /** The line is too long for a request that will be late: it is refused, and its caller told when to come back. */
    void refuseFromLine() {
        if (!ended) {
            end(ErrorKind.OVERLOADED, "line too long");
        }
    }

    private void leaveLine() {
        if (place != null) {
            state.line(service).leave(place);
            waiting.cancel(false);
            place = null;
        }
    }

    private long onTimeUntil() {
        return arrivedAt + (long) (route.objectiveMillis() * HELD_SHARE);
    }

    private int rank() {
        return customer.flatMap(known -> known.priority().isPresent()
                        ? Optional.of(known.priority().getAsInt())
                        : Optional.empty())
                .orElse(route.priority());
    }

    private void placeAnywhere() {
        long now = state.now();
        Optional<Placement.Choice> choice = Placement.choose(state.fleet().of(service, now), query(now), now);
        if (choice.isEmpty()) {
            end(runs == 0 ? ErrorKind.NO_TARGET : ErrorKind.TARGET_FAILED, "no target");
            return;
        }
        sendTo(choice.get());
    }

    private void sendTo(Placement.Choice choice) {
        long now = state.now();
        target = choice.target();
        tried.add(target.id());
        Target chosen = target;
        logPlaced(choice);
        pools.acquire(chosen, route.repeat().repeatable(), now, opened -> connected(chosen, opened));
    }

    private PlacementQuery query(long now) {
        RelayState.Named named = facts.model().map(state.weights()::get).orElse(null);
        boolean oldAllowed = named == null
                || now - named.sinceMillis() < state.settings().bounds().weightsMillis() - OLD_WEIGHTS_MARGIN_MILLIS;
        int shared = facts.parts().size() - 2;
        return new PlacementQuery(
                service,
                state.settings().failureDomain(),
                engine,
                facts.model(),
                named == null ? 0 : named.version(),
                oldAllowed,
                facts.promptTokens() + facts.outputTokens(),
                shared < 0 ? 0 : Hashing.of(facts.parts().get(shared).id()),
                tried);
    }

    private void logPlaced(Placement.Choice choice) {
        state.log()
                .info(
                        "request_placed",
                        "request",
                        facts.id(),
                        "route",
                        route.name(),
                        "service",
                        service,
                        "target",
                        choice.target().id(),
                        "expected_ms",
                        Long.toString(Math.round(choice.expectedMillis())),
                        "candidates",
                        Integer.toString(choice.candidates()),
                        "in_flight",
                        Integer.toString(choice.target().inFlight()),
                        "attempt",
                        Integer.toString(tried.size()),
                        "left_ms",
                        Long.toString(left()),
                        "configuration",
                        state.configuration()
                                .map(configuration -> Long.toString(configuration.version()))
                                .orElse("none"));
    }

    private void connected(Target chosen, TargetConnection opened) {
        if (ended) {
            if (opened != null) {
                opened.abort();
            }
            return;
        }
        if (opened == null) {
            chosen.unreachable(state.now());
            failed(AttemptOutcome.NOT_SENT, "unreachable");
            return;
        }
        send(opened);
    }

    private void send(TargetConnection opened) {
        connection = opened;
        sentAt = state.now();
        lastPieceAt = sentAt;
        attemptBegan = false;
        if (!counted) {
            counted = true;
            state.allowance(service).request(sentAt);
        }
        HttpRequest outgoing = outgoing();
        target.sent(work, sentAt);
        opened.send(outgoing, body.retainedDuplicate(), facts.id(), this);
        watch();
    }

    private int tokens() {
        return facts.promptTokens() + facts.outputTokens();
    }

    private HttpRequest outgoing() {
        HttpHeaders headers = state.platform().requests().forTarget(head.headers(), forwarding());
        DefaultHttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), headers);
        if (body.isReadable() || HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)) {
            HttpUtil.setContentLength(request, body.readableBytes());
        }
        return request;
    }

    private Forwarding forwarding() {
        Optional<Long> weights = facts.model().map(target::weights).filter(version -> version > 0);
        Optional<String> salt = weights.map(version -> PartKey.salt(version, customer));
        PartPlan parts = salt.isPresent() && engine.isPresent()
                ? state.directory()
                        .plan(salt.get(), facts.parts(), target.entry().failureDomain(), state.now())
                : PartPlan.NONE;
        work = new Target.Work(tokens(), Math.max(0, facts.promptTokens() - readTokens(parts)));
        state.metrics().parts("read", count(parts.sources()));
        state.metrics().parts("saved", count(parts.targets()));
        if (engine.isPresent()) {
            state.log()
                    .info(
                            "request_sent",
                            "request",
                            facts.id(),
                            "target",
                            target.id(),
                            "salt",
                            salt.orElse("none"),
                            "shared_parts",
                            Integer.toString(Math.max(0, facts.parts().size() - 1)),
                            "read",
                            Integer.toString(count(parts.sources())),
                            "saved",
                            Integer.toString(count(parts.targets())));
        }
        if (engine.isPresent() && salt.isEmpty()) {
            // Weights that aren't known can't be told apart: nothing of this request may be found by another one.
            salt = Optional.of("request-" + facts.id());
        }
        return new Forwarding(
                Math.max(1, left()),
                target.id(),
                customer.map(CustomerIdentity::name),
                weights.map(OptionalLong::of).orElse(OptionalLong.empty()),
                salt,
                parts,
                lastEventId(),
                engine.isEmpty()
                        ? OptionalInt.empty()
                        : OptionalInt.of(state.now() <= onTimeUntil() ? ON_TIME_RANK : LATE_RANK));
    }

    private static int readTokens(PartPlan parts) {
        return parts.sources().stream()
                .mapToInt(source -> source.map(PartPlan.Source::tokens).orElse(0))
                .sum();
    }

    private static int count(List<? extends Optional<?>> places) {
        return (int) places.stream().filter(Optional::isPresent).count();
    }

    private Optional<String> lastEventId() {
        return tail.flatMap(EventTail::lastId).or(facts::lastEventId);
    }

    /** Waits for the first byte, then for each next one, as long as another target could do better. */
    private void watch() {
        if (!route.repeat().repeatable()) {
            return;
        }
        long quiet = state.now() - lastPieceAt;
        long limit = patienceMillis();
        if (quiet < limit) {
            patience = state.loop().schedule(this::watch, limit - quiet + 1, TimeUnit.MILLISECONDS);
            return;
        }
        AttemptRules.Progress progress = progress(1);
        if (route.repeat().stream() && target.lastSignAt() > lastPieceAt && quiet < ALIVE_PATIENCE * limit) {
            // It works for others: this request waits its turn, and would have to wait again elsewhere.
            patience = state.loop().schedule(this::watch, limit, TimeUnit.MILLISECONDS);
            return;
        }
        if (AttemptRules.mayRetry(progress, AttemptOutcome.SILENT)
                && state.allowance(service).tryRepeat(state.now())) {
            connection.abort();
            experience(AttemptOutcome.SILENT);
            closeAttempt(AttemptOutcome.SILENT, "silent for " + quiet + " ms");
            runs++;
            place();
        }
    }

    private long patienceMillis() {
        if (!route.repeat().stream()) {
            return (long) (route.objectiveMillis() * PLAIN_PATIENCE);
        }
        return (long)
                (attemptBegan ? route.pauseMillis() * PAUSE_PATIENCE : route.objectiveMillis() * FIRST_EVENT_PATIENCE);
    }

    private AttemptRules.Progress progress(int running) {
        return new AttemptRules.Progress(route, runs + running, unrunSends, answerBegan, tail.isPresent(), left());
    }

    @Override
    public void head(HttpResponse response, AnswerFacts answer) {
        answer.load().ifPresent(told -> load = told.running() + "/" + told.waiting());
        answer.load().ifPresent(load -> target.reportedLoad(load.running(), load.waiting(), state.now()));
        if (answer.misdirected()) {
            misdirected(answer);
            return;
        }
        if (answer.notRun()) {
            connection.detach();
            target.full(state.now(), target.isSwapping(state.now()) ? SWAP_PAUSE_MILLIS : FULL_PAUSE_MILLIS);
            failed(AttemptOutcome.REJECTED, "rejected with " + answer.status());
            return;
        }
        facts.model().ifPresent(model -> answer.weights().ifPresent(version -> target.confirmWeights(model, version)));
        if (answer.isSuccess() && !answer.signed()) {
            connection.abort();
            failed(AttemptOutcome.BROKEN, "success without a signature");
            return;
        }
        boolean promises = answer.status() == 503 || answer.status() == 429 || answer.status() == 408;
        boolean failure = answer.status() >= FIRST_FAILURE || promises;
        if (failure && (answerBegan || promises || AttemptRules.mayRetry(progress(1), AttemptOutcome.FAILED))) {
            connection.detach();
            failed(AttemptOutcome.FAILED, "failed with " + answer.status());
            return;
        }
        if (answerBegan && !answer.isSuccess()) {
            connection.detach();
            failed(AttemptOutcome.FAILED, "can't go on: " + answer.status());
            return;
        }
        heldHead = response;
    }

    private void misdirected(AnswerFacts answer) {
        boolean other = answer.target().filter(id -> !id.equals(target.id())).isPresent();
        connection.detach();
        if (other) {
            state.log()
                    .warn(
                            "target_replaced",
                            "target",
                            target.id(),
                            "found",
                            answer.target().get());
            state.fleet().replaced(target.id());
        } else {
            facts.model()
                    .ifPresent(model -> answer.weights().ifPresent(version -> target.confirmWeights(model, version)));
            target.full(state.now(), SWAP_PAUSE_MILLIS);
        }
        failed(AttemptOutcome.MISDIRECTED, other ? "another target" : "other weights");
    }

    @Override
    public void content(ByteBuf piece) {
        lastPieceAt = state.now();
        target.heard(lastPieceAt);
        if (!attemptBegan) {
            attemptBegan = true;
            firstPieceMillis = lastPieceAt - sentAt;
            target.began(work);
            state.drainLine(service);
        }
        if (!route.repeat().stream()) {
            hold(piece);
            return;
        }
        byte[] ready = tail.isPresent() ? tail.get().take(piece) : ByteBufUtil.getBytes(piece);
        if (ready.length > 0) {
            begin();
            caller.write(Unpooled.wrappedBuffer(ready));
        }
    }

    private void hold(ByteBuf piece) {
        if (answerBegan) {
            caller.write(piece.retain());
            return;
        }
        if (held == null) {
            held = Unpooled.buffer(Math.max(1_024, piece.readableBytes()));
        }
        held.writeBytes(piece);
        if (held.readableBytes() > HELD_BYTES) {
            releaseHeld();
        }
    }

    private void releaseHeld() {
        begin();
        caller.write(held);
        held = null;
    }

    private void begin() {
        if (answerBegan) {
            return;
        }
        answerBegan = true;
        long firstMillis = state.now() - arrivedAt;
        state.metrics().firstByte(route.name(), firstMillis);
        caller.begin(heldHead, state.platform().requests().forCaller(heldHead.headers()));
    }

    @Override
    public void complete() {
        if (tail.isPresent() && tail.get().isWithinEvent()) {
            byte[] rest = tail.get().rest();
            begin();
            caller.write(Unpooled.wrappedBuffer(rest));
        }
        long now = state.now();
        if (heldHead == null) {
            failed(AttemptOutcome.BROKEN, "no head");
            return;
        }
        if (!answerBegan && !route.repeat().stream()) {
            caller.answer(heldHead, state.platform().requests().forCaller(heldHead.headers()), held);
            held = null;
            state.metrics().firstByte(route.name(), now - arrivedAt);
            answerBegan = true;
        } else {
            begin();
            caller.finish();
        }
        boolean failedThere = heldHead.status().code() >= FIRST_FAILURE;
        if (failedThere) {
            target.failed(0, now);
        } else {
            double expected = engine.isPresent()
                    ? ENGINE_BASE_MILLIS + facts.promptTokens() / TOKENS_PER_MILLI
                    : PLAIN_BASE_MILLIS;
            target.succeeded(firstMillisOfAttempt() - expected, now);
        }
        closeAttempt(null, "");
        finished(Integer.toString(heldHead.status().code()), "passed on");
    }

    private double firstMillisOfAttempt() {
        return route.repeat().stream() ? firstPieceMillis : state.now() - sentAt;
    }

    @Override
    public void broken(String reason) {
        failed(AttemptOutcome.BROKEN, reason);
    }

    @Override
    public void writable(boolean now) {
        if (connection != null) {
            connection.reading(now);
        }
    }

    /** An attempt has failed: goes to another target if that is allowed, else ends. */
    private void failed(AttemptOutcome outcome, String reason) {
        if (ended) {
            return;
        }
        experience(outcome);
        closeAttempt(outcome, reason);
        if (outcome.mayHaveRun()) {
            runs++;
        } else {
            unrunSends++;
        }
        boolean arrivedBefore = counted;
        if (AttemptRules.mayRetry(progress(0), outcome)
                && (!arrivedBefore || state.allowance(service).tryRepeat(state.now()))) {
            place();
            return;
        }
        if (answerBegan) {
            breakOff(reason);
            return;
        }
        end(AttemptRules.finalError(runs, outcome), reason);
    }

    private void experience(AttemptOutcome outcome) {
        if (target != null && outcome.mayHaveRun()) {
            target.failed(state.now() - sentAt, state.now());
        }
    }

    private void closeAttempt(AttemptOutcome outcome, String reason) {
        if (patience != null) {
            patience.cancel(false);
        }
        if (connection != null) {
            target.ended(work, attemptBegan);
            state.drainLine(service);
        }
        connection = null;
        if (held != null) {
            held.release();
            held = null;
        }
        tail.ifPresent(EventTail::rest);
        state.metrics()
                .attempt(service, outcome == null ? "answered" : outcome.name().toLowerCase(Locale.ROOT));
        if (outcome != null) {
            state.log()
                    .info(
                            "attempt_failed",
                            "request",
                            facts.id(),
                            "target",
                            target.id(),
                            "outcome",
                            outcome.name(),
                            "reason",
                            reason,
                            "after_ms",
                            Long.toString(state.now() - sentAt),
                            "began",
                            Boolean.toString(answerBegan));
        }
    }

    private void deadlineReached() {
        if (ended) {
            return;
        }
        boolean sent = connection != null;
        if (sent) {
            connection.abort();
            experience(AttemptOutcome.SILENT);
            closeAttempt(AttemptOutcome.SILENT, "deadline");
            runs++;
        }
        if (answerBegan) {
            breakOff("deadline");
            return;
        }
        end(runs > 0 ? ErrorKind.TARGET_SILENT : ErrorKind.DEADLINE_UNREACHABLE, "deadline");
    }

    /** The caller has gone: the target's work is of no use any more. */
    void cancelled() {
        if (ended) {
            return;
        }
        leaveLine();
        if (connection != null) {
            connection.abort();
            closeAttempt(AttemptOutcome.SILENT, "caller left");
        }
        finished("cancelled", "caller left");
    }

    private void breakOff(String reason) {
        caller.abort();
        finished("broken_off", reason);
    }

    private void end(ErrorKind error, String reason) {
        caller.refuse(error, facts.id(), left());
        finished(error.wireName(), reason);
    }

    private void finished(String outcome, String reason) {
        ended = true;
        leaveLine();
        deadline.cancel(false);
        if (patience != null) {
            patience.cancel(false);
        }
        body.release();
        state.metrics().request(route.name(), outcome);
        state.log()
                .info(
                        "request_ended",
                        "request",
                        facts.id(),
                        "route",
                        route.name(),
                        "outcome",
                        outcome,
                        "reason",
                        reason,
                        "ms",
                        Long.toString(state.now() - arrivedAt),
                        "target",
                        target == null ? "none" : target.id(),
                        "sent_after_ms",
                        target == null ? "none" : Long.toString(sentAt - arrivedAt),
                        "first_after_ms",
                        Long.toString(firstPieceMillis),
                        "tokens",
                        Integer.toString(tokens()),
                        "unread",
                        Integer.toString(work.unread()),
                        "load",
                        load,
                        "runs",
                        Integer.toString(runs),
                        "unrun_sends",
                        Integer.toString(unrunSends),
                        "left_ms",
                        Long.toString(left()));
        caller.exchangeEnded();
    }
}
