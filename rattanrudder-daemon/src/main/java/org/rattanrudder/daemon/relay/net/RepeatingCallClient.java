package org.rattanrudder.daemon.relay.net;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.ReadTiming;
import org.rattanrudder.core.topics.RepeatPolicy;
import org.rattanrudder.core.topics.RepeatSchedule;
import org.rattanrudder.daemon.relay.port.PlatformCall;

/**
 * An HTTP client for one address that makes one call at a time, and repeats a call on new connections while its answer
 * is late and nothing more arrives of it.
 *
 * <p>The first usable answer counts; its connection is kept for the next call, and the others are closed. A refusal
 * counts only once no other answer is awaited. Few attempts await an answer at a time: a further repeat closes the
 * connection of the earliest one, and the first attempt lives on, as a slow store answers it first.
 */
public final class RepeatingCallClient implements AutoCloseable {
    private final Supplier<Moment> clock;
    private final StepTimer timer;
    private final RepeatSchedule schedule = new RepeatSchedule();
    private final int maxCalls;

    /** One for each attempt that may await an answer at a time. */
    private final List<HttpCallClient> attemptClients;

    private final List<HttpCallClient> awaitingAnswer = new ArrayList<>();

    /** Makes the first attempt of the next call: its connection brought the last answer. */
    private HttpCallClient firstAttemptClient;

    private Pending pending;
    private int made;

    /** What had arrived of the answers that are awaited when a repeat was last due. */
    private long receivedBytes;

    /**
     * Creates a client without a connection.
     *
     * @param clock returns the time
     * @param maxCalls how many times a call is made at most, the first included
     * @param client creates a client for the address, without a connection
     */
    public RepeatingCallClient(EventLoop loop, Supplier<Moment> clock, int maxCalls, Supplier<HttpCallClient> client) {
        this.clock = clock;
        this.maxCalls = maxCalls;
        timer = new StepTimer(loop);
        attemptClients = Stream.generate(client)
                .limit(Math.min(maxCalls, RepeatPolicy.MAX_IN_FLIGHT))
                .toList();
        firstAttemptClient = attemptClients.get(0);
    }

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

    private record Pending(PlatformCall call, long timeoutMillis, Moment beganAt, Consumer<Outcome> callback) {}

    /** Returns whether a call is in flight. */
    public boolean isBusy() {
        return pending != null;
    }

    /**
     * Makes a call. Only one may be in flight.
     *
     * @param timeoutMillis time after which the call fails, in ms; a repeat that is made late has time for an answer
     * @param callback called once with the outcome, on the event loop; not called after {@link #cancel}
     */
    public void call(PlatformCall call, long timeoutMillis, Consumer<Outcome> callback) {
        pending = new Pending(call, timeoutMillis, clock.get(), callback);
        made = 0;
        receivedBytes = 0;
        make(firstAttemptClient, false);
    }

    /** Repeats the call in flight at once, if there is one that may be repeated. */
    void repeatNow() {
        if (pending == null || made == maxCalls) {
            return;
        }
        if (awaitingAnswer.size() == attemptClients.size()) {
            awaitingAnswer.remove(earliestRepeat()).close();
        }
        attemptClients.stream().filter(client -> !client.isBusy()).findFirst().ifPresent(client -> make(client, true));
    }

    /** Returns the index of the earliest repeat in flight; a first attempt that has failed is no longer there. */
    private int earliestRepeat() {
        return awaitingAnswer.get(0) == firstAttemptClient ? 1 : 0;
    }

    private void make(HttpCallClient client, boolean repeated) {
        Pending current = pending;
        Moment now = clock.get();
        long elapsed = now.atLeastMillis() - current.beganAt().atLeastMillis();
        made++;
        awaitingAnswer.add(client);
        schedule.repeatAfterMillis(made)
                .ifPresent(after -> timer.reschedule(() -> repeat(current), Math.max(0, after - elapsed)));
        client.call(
                current.call(),
                Math.max(ReadTiming.ANSWER_MILLIS, current.timeoutMillis() - elapsed),
                result -> onResult(client, new Outcome(result, current.beganAt(), now, repeated, made)));
    }

    private void repeat(Pending late) {
        if (pending != late) {
            return;
        }
        long received =
                awaitingAnswer.stream().mapToLong(HttpCallClient::receivedBytes).sum();
        if (received > receivedBytes) {
            // The connection isn't silent, and a second answer would share a slow link with this one.
            receivedBytes = received;
            timer.reschedule(() -> repeat(late), RepeatPolicy.LATE_ANSWER_MILLIS);
            return;
        }
        repeatNow();
    }

    private void onResult(HttpCallClient from, Outcome outcome) {
        awaitingAnswer.remove(from);
        if (!outcome.result().isServed() && !awaitingAnswer.isEmpty()) {
            from.close();
            return;
        }
        updateSchedule(outcome);
        Consumer<Outcome> callback = pending.callback();
        pending = null;
        closeAwaitingAnswer();
        firstAttemptClient = from;
        callback.accept(outcome);
    }

    private void updateSchedule(Outcome outcome) {
        if (!outcome.repeated() && outcome.result().isServed()) {
            schedule.onFirstCallAnswered(
                    clock.get().atLeastMillis() - outcome.askedAt().atLeastMillis());
        } else if (outcome.calls() > 1 && outcome.result() instanceof CallResult.Unanswered) {
            schedule.onUnanswered();
        }
    }

    private void closeAwaitingAnswer() {
        awaitingAnswer.forEach(HttpCallClient::close);
        awaitingAnswer.clear();
    }

    /** Cancels the call in flight without calling its callback, and closes its connections. */
    public void cancel() {
        pending = null;
        closeAwaitingAnswer();
        firstAttemptClient.close();
    }

    @Override
    public void close() {
        cancel();
        timer.close();
    }
}
