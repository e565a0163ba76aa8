package org.rattanrudder.daemon.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.topics.RepeatPolicy;
import org.rattanrudder.core.topics.RepeatSchedule;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;

/**
 * Reads from one service of the platform, one read at a time, and repeats a read on new connections while its answer is
 * late.
 *
 * <p>The first usable answer counts, and the other calls are given up. A refusal counts only once no other answer is
 * awaited. The first call and one repeat at most await an answer: a further repeat gives up the one before it.
 */
final class RepeatingReads {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERRORS = 500;

    private final HttpCaller caller;
    private final ScheduledExecutorService timer;
    private final Address address;
    private final long timeoutMillis;
    private final LateAnswerListener lateAnswers;
    private final HttpResult timedOut;
    private final RepeatSchedule schedule = new RepeatSchedule();

    /**
     * Creates a reader that makes no call.
     *
     * @param caller the HTTP client
     * @param timer runs the repeats
     * @param address where the service listens
     * @param timeoutMillis time after which a read fails, repeats included
     * @param lateAnswers told of reads that were answered only after a repeat
     */
    RepeatingReads(
            HttpCaller caller,
            ScheduledExecutorService timer,
            Address address,
            long timeoutMillis,
            LateAnswerListener lateAnswers) {
        this.caller = caller;
        this.timer = timer;
        this.address = address;
        this.timeoutMillis = timeoutMillis;
        this.lateAnswers = lateAnswers;
        timedOut = new HttpResult.Failed(false, "no answer in " + timeoutMillis + " ms");
    }

    /** Notified of reads that were answered only after a repeat. */
    @FunctionalInterface
    interface LateAnswerListener {
        /** Called with the number of calls and the time from the first one to the answer. */
        void onLateAnswer(int calls, long afterMillis);
    }

    /** Makes a read that may be repeated. The result never ends exceptionally. */
    CompletableFuture<HttpResult> read(HttpRequest request) {
        Reading reading = new Reading(request);
        reading.result.completeOnTimeout(timedOut, timeoutMillis, TimeUnit.MILLISECONDS);
        reading.make();
        return reading.result;
    }

    private static boolean isUsable(HttpResult result) {
        return result instanceof HttpResult.Answered answered
                && answered.status() != TOO_MANY_REQUESTS
                && answered.status() < SERVER_ERRORS;
    }

    /** One read and its calls. */
    private final class Reading {
        private final HttpRequest request;
        private final long beganNanos = System.nanoTime();
        private final CompletableFuture<HttpResult> result = new CompletableFuture<>();
        private final List<CompletableFuture<HttpResult>> inFlight = new ArrayList<>();
        private int made;

        Reading(HttpRequest request) {
            this.request = request;
            result.thenAccept(this::onEnd);
        }

        private void make() {
            boolean first;
            OptionalLong repeatAfter;
            synchronized (schedule) {
                made++;
                first = made == 1;
                repeatAfter = schedule.repeatAfterMillis(made);
            }
            giveUpLastRepeat();
            CompletableFuture<HttpResult> call = caller.fetch(address, first ? request : request.onNewConnection());
            add(call);
            call.thenAccept(answer -> onResult(call, answer, first));
            repeatAfter.ifPresent(
                    after -> timer.schedule(this::repeat, Math.max(0, after - elapsedMillis()), TimeUnit.MILLISECONDS));
        }

        private void giveUpLastRepeat() {
            CompletableFuture<HttpResult> superseded;
            synchronized (schedule) {
                if (inFlight.size() < RepeatPolicy.MAX_IN_FLIGHT) {
                    return;
                }
                superseded = inFlight.remove(inFlight.size() - 1);
            }
            superseded.cancel(false);
        }

        private void repeat() {
            if (!result.isDone() && calls() < RepeatPolicy.MAX_CALLS) {
                make();
            }
        }

        private int calls() {
            synchronized (schedule) {
                return made;
            }
        }

        private void add(CompletableFuture<HttpResult> call) {
            synchronized (schedule) {
                inFlight.add(call);
            }
            if (result.isDone()) {
                giveUp();
            }
        }

        private void onResult(CompletableFuture<HttpResult> call, HttpResult answer, boolean first) {
            boolean usable = isUsable(answer);
            boolean onlyCall;
            synchronized (schedule) {
                inFlight.remove(call);
                onlyCall = made == 1;
                if (!usable && !inFlight.isEmpty()) {
                    return;
                }
                if (usable && first) {
                    schedule.onFirstCallAnswered(elapsedMillis());
                }
            }
            if (onlyCall && answer instanceof HttpResult.Failed) {
                // Its connection may have been closed while it was idle, which says nothing of the service.
                repeat();
                return;
            }
            if (result.complete(answer) && usable && calls() > 1) {
                lateAnswers.onLateAnswer(calls(), elapsedMillis());
            }
        }

        private void onEnd(HttpResult ended) {
            synchronized (schedule) {
                if (made > 1 && ended instanceof HttpResult.Failed) {
                    schedule.onUnanswered();
                }
            }
            giveUp();
        }

        private void giveUp() {
            List<CompletableFuture<HttpResult>> left;
            synchronized (schedule) {
                left = List.copyOf(inFlight);
                inFlight.clear();
            }
            left.forEach(call -> call.cancel(false));
        }

        private long elapsedMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
        }
    }
}
