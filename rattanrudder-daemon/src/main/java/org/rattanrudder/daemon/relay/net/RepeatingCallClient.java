package org.rattanrudder.daemon.relay.net;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.RepeatPolicy;
import org.rattanrudder.core.topics.RepeatSchedule;
import org.rattanrudder.daemon.relay.port.PlatformCall;

/**
 * An HTTP client for one address that makes one call at a time, and repeats a call on new connections while its answer
 * is late.
 *
 * <p>The first usable answer counts; its connection is kept for the next call, and the others are closed. A refusal
 * counts only once no other answer is awaited.
 */
public final class RepeatingCallClient implements AutoCloseable {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERRORS = 500;

    private final Supplier<Moment> clock;
    private final StepTimer timer;
    private final RepeatSchedule schedule = new RepeatSchedule();
    private final List<HttpCallClient> clients;
    private final List<HttpCallClient> inFlight = new ArrayList<>();
    private HttpCallClient kept;
    private Pending pending;
    private int made;

    /**
     * Creates a client without a connection.
     *
     * @param clock returns the time
     * @param client creates a client for the address, without a connection
     */
    public RepeatingCallClient(EventLoop loop, Supplier<Moment> clock, Supplier<HttpCallClient> client) {
        this.clock = clock;
        timer = new StepTimer(loop);
        clients = Stream.generate(client).limit(RepeatPolicy.MAX_CALLS).toList();
        kept = clients.get(0);
    }

    /**
     * A call that may be made more than once.
     *
     * @param first the call as it is made first
     * @param repeat the call as it is made again
     * @param waitMillis how long the other side waits before it answers the first call, in ms
     * @param timeoutMillis time after which the call fails, in ms
     */
    public record RepeatableCall(PlatformCall first, PlatformCall repeat, long waitMillis, long timeoutMillis) {}

    /**
     * How a call has ended.
     *
     * @param result the answer, or why there is none
     * @param beganAt when the call was first made
     * @param askedAt when the call was made, or its repeat that was answered
     * @param repeated whether it is a repeat that was answered
     * @param calls how many times the call was made
     */
    public record Outcome(CallResult result, Moment beganAt, Moment askedAt, boolean repeated, int calls) {}

    private record Pending(RepeatableCall call, Moment beganAt, Consumer<Outcome> callback) {}

    /** Returns whether a call is in flight. */
    public boolean isBusy() {
        return pending != null;
    }

    /** Returns whether the call in flight was made more than once. */
    public boolean isRepeated() {
        return pending != null && made > 1;
    }

    /**
     * Makes a call. Only one may be in flight.
     *
     * @param callback called once with the outcome, on the event loop; not called after {@link #cancel}
     */
    public void call(RepeatableCall call, Consumer<Outcome> callback) {
        pending = new Pending(call, clock.get(), callback);
        made = 0;
        make(kept, call.first(), false);
    }

    /** Repeats the call in flight at once, if there is one that may be repeated. */
    public void repeatNow() {
        if (pending == null || made == RepeatPolicy.MAX_CALLS) {
            return;
        }
        clients.stream()
                .filter(client -> client != kept && !client.isBusy())
                .findFirst()
                .ifPresent(client -> make(client, pending.call().repeat(), true));
    }

    private void make(HttpCallClient client, PlatformCall call, boolean repeated) {
        Pending current = pending;
        Moment now = clock.get();
        long elapsed = now.atLeastMillis() - current.beganAt().atLeastMillis();
        made++;
        inFlight.add(client);
        schedule.repeatAfterMillis(made, current.call().waitMillis())
                .ifPresent(after -> timer.reschedule(() -> repeat(current), Math.max(0, after - elapsed)));
        client.call(
                call,
                Math.max(1, current.call().timeoutMillis() - elapsed),
                result -> onResult(client, new Outcome(result, current.beganAt(), now, repeated, made)));
    }

    private void repeat(Pending late) {
        if (pending == late) {
            repeatNow();
        }
    }

    private void onResult(HttpCallClient from, Outcome outcome) {
        inFlight.remove(from);
        if (!isUsable(outcome.result()) && !inFlight.isEmpty()) {
            from.close();
            return;
        }
        if (!outcome.repeated() && isUsable(outcome.result())) {
            long taken = clock.get().atLeastMillis() - outcome.askedAt().atLeastMillis();
            schedule.onFirstCallAnswered(taken, pending.call().waitMillis());
        }
        Consumer<Outcome> callback = pending.callback();
        pending = null;
        closeInFlight();
        kept = from;
        callback.accept(outcome);
    }

    private static boolean isUsable(CallResult result) {
        return result instanceof CallResult.Answered answered
                && answered.status() != TOO_MANY_REQUESTS
                && answered.status() < SERVER_ERRORS;
    }

    private void closeInFlight() {
        inFlight.forEach(HttpCallClient::close);
        inFlight.clear();
    }

    /** Cancels the call in flight without calling its callback, and closes its connections. */
    public void cancel() {
        pending = null;
        closeInFlight();
        kept.close();
    }

    @Override
    public void close() {
        cancel();
        timer.close();
    }
}
