package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.rattanrudder.core.gateway.EngineTraits;

/**
 * Queue of the requests of one service that wait at the relay for an engine with free capacity.
 *
 * <p>Requests that can still meet their objective are dispatched first, by priority and then by remaining time; late
 * requests follow, by priority and then by deadline. The total size of the late requests is bounded and requests beyond
 * it are rejected at once, since an overloaded service that serves everything in order serves all of it late. Late
 * requests that have waited for too long are rejected as well; otherwise their callers would leave, or reach their
 * deadlines, without an attempt.
 *
 * @param <T> the type of requests
 */
public final class HoldingQueue<T> {
    /**
     * The part of the objective that a request may wait and still be on time; the rest must suffice for the prefill of
     * its prompt.
     */
    public static final double ON_TIME_WAIT_RATIO = 0.5;

    /**
     * How long a late request waits, as a multiple of the objective. Its caller leaves at four times the objective; if
     * it is rejected sooner, its retry may be on time.
     */
    public static final double LATE_WAIT_RATIO = 2;

    /**
     * Tokens of late requests that may wait per engine, over all relays, where learned figures don't apply: a late
     * request waits for some hundred ms rather than until its deadline.
     */
    private static final long LATE_TOKENS_PER_ENGINE = 40_000;

    /** The same bound as the time that an engine takes to prefill them at the expected speed. */
    private static final double LATE_MILLIS_PER_ENGINE =
            LATE_TOKENS_PER_ENGINE / ServiceCapacity.EXPECTED_TOKENS_PER_MILLI;

    /** Share of an engine's configured memory that late requests which wait for it may need. */
    private static final double LATE_MEMORY_SHARE = 2.0 / 3;

    private final TreeSet<QueuedRequest<T>> onTime =
            new TreeSet<>(Comparator.<QueuedRequest<T>>comparingInt(QueuedRequest::priority)
                    .thenComparingLong(QueuedRequest::onTimeUntilMillis)
                    .thenComparingLong(QueuedRequest::sequence));
    private final TreeSet<QueuedRequest<T>> late =
            new TreeSet<>(Comparator.<QueuedRequest<T>>comparingInt(QueuedRequest::priority)
                    .thenComparingLong(QueuedRequest::deadlineMillis)
                    .thenComparingLong(QueuedRequest::sequence));
    private final QueueBacklog onTimeBacklog = new QueueBacklog();
    private final QueueBacklog lateBacklog = new QueueBacklog();
    private long lateTokens;
    private long nextSequence;

    /** Creates an empty queue. */
    public HoldingQueue() {}

    /**
     * Returns how many tokens of late requests may wait at one relay where learned figures don't apply. All relays wait
     * for the same engines, so each gets an equal share.
     *
     * @param engines the number of engines of the service
     * @param relays the number of relays, including this one
     */
    public static long maxLateTokens(int engines, int relays) {
        return Math.max(1, engines) * LATE_TOKENS_PER_ENGINE / Math.max(1, relays);
    }

    /**
     * Returns how many tokens of late requests may wait at one relay: by the learned speed and the configured memory of
     * the engines where targets report a pace.
     *
     * @param engines the number of engines of the service
     * @param relays the number of relays, including this one
     * @param engine properties of the engines; empty for a plain service
     */
    public static long maxLateTokens(
            int engines, int relays, ServiceCapacity capacity, Optional<EngineTraits> engine, long nowMillis) {
        if (engine.isEmpty() || !capacity.usesLearnedFigures(nowMillis)) {
            return maxLateTokens(engines, relays);
        }
        double tokens = Math.min(
                LATE_MEMORY_SHARE * engine.get().capacityTokens(),
                LATE_MILLIS_PER_ENGINE * capacity.prefillTokensPerMilli(nowMillis));
        return (long) (Math.max(1, engines) * tokens / Math.max(1, relays));
    }

    /**
     * A queued request with its deadlines.
     *
     * @param request the request
     * @param priority its priority, 0 first
     * @param tokens its size in tokens
     * @param onTimeUntilMillis when it must be sent at the latest to meet its objective
     * @param lateUntilMillis when it is rejected once it is late
     * @param deadlineMillis when its caller stops waiting
     * @param sequence number that breaks ties
     * @param <T> the type of requests
     */
    public record QueuedRequest<T>(
            T request,
            int priority,
            int tokens,
            long onTimeUntilMillis,
            long lateUntilMillis,
            long deadlineMillis,
            long sequence) {}

    /**
     * What queued requests amount to.
     *
     * @param requests their number
     * @param tokens their total size in tokens
     */
    public record Work(int requests, long tokens) {
        private Work plus(Work other) {
            return new Work(requests + other.requests, tokens + other.tokens);
        }
    }

    /**
     * Tells whether a queued request can't be sent in time.
     *
     * @param <T> the type of requests
     */
    @FunctionalInterface
    interface HopelessTest<T> {
        /**
         * Returns whether a request can't be sent in time.
         *
         * @param late whether it is judged as late request, by what is ahead of those
         * @param requestsAhead how many requests are ahead of it
         * @param tokensAhead their total size
         */
        boolean isHopeless(QueuedRequest<T> queued, boolean late, int requestsAhead, long tokensAhead);
    }

    /** Returns what is ahead of a request that is added now, as long as it can be on time. */
    public Work aheadOf(int priority, long onTimeUntilMillis) {
        return onTimeBacklog.before(priority, onTimeUntilMillis);
    }

    /** Returns what is ahead of a request once it is late, as far as it is queued now. */
    public Work aheadOfLate(int priority, long deadlineMillis) {
        return onTimeBacklog.all().plus(lateBacklog.before(priority, deadlineMillis));
    }

    /** Adds a request. */
    public QueuedRequest<T> add(
            T request, int priority, int tokens, long onTimeUntilMillis, long lateUntilMillis, long deadlineMillis) {
        QueuedRequest<T> queued = new QueuedRequest<>(
                request, priority, tokens, onTimeUntilMillis, lateUntilMillis, deadlineMillis, nextSequence++);
        addOnTime(queued);
        return queued;
    }

    /** Removes a request. */
    public void remove(QueuedRequest<T> queued) {
        if (!removeOnTime(queued) && late.remove(queued)) {
            lateTokens -= queued.tokens();
            lateBacklog.remove(queued.priority(), queued.deadlineMillis(), queued.tokens());
        }
    }

    private void addOnTime(QueuedRequest<T> queued) {
        onTime.add(queued);
        onTimeBacklog.add(queued.priority(), queued.onTimeUntilMillis(), queued.tokens());
    }

    private boolean removeOnTime(QueuedRequest<T> queued) {
        boolean removed = onTime.remove(queued);
        if (removed) {
            onTimeBacklog.remove(queued.priority(), queued.onTimeUntilMillis(), queued.tokens());
        }
        return removed;
    }

    private void addLate(QueuedRequest<T> queued) {
        late.add(queued);
        lateTokens += queued.tokens();
        lateBacklog.add(queued.priority(), queued.deadlineMillis(), queued.tokens());
    }

    /** Returns the request to dispatch next. */
    public Optional<QueuedRequest<T>> first() {
        if (!onTime.isEmpty()) {
            return Optional.of(onTime.first());
        }
        return late.isEmpty() ? Optional.empty() : Optional.of(late.first());
    }

    /**
     * Dispatches requests in order until one can't be sent that the others have to wait for.
     *
     * @param dispatched returns whether a request was sent; it must have been removed from the queue then
     * @param mayBePassed returns whether others needn't wait for a request, since it waits for few targets only
     */
    public void dispatch(Predicate<T> dispatched, Predicate<T> mayBePassed) {
        Optional<QueuedRequest<T>> first = first();
        while (first.isPresent() && dispatched.test(first.get().request())) {
            first = first();
        }
        if (first.isPresent() && mayBePassed.test(first.get().request())) {
            dispatchOthers(first.get(), dispatched, mayBePassed);
        }
    }

    private void dispatchOthers(QueuedRequest<T> stuck, Predicate<T> dispatched, Predicate<T> mayBePassed) {
        List<T> others = Stream.concat(onTime.stream(), late.stream())
                .filter(queued -> queued != stuck)
                .map(QueuedRequest::request)
                .toList();
        for (T request : others) {
            if (!dispatched.test(request) && !mayBePassed.test(request)) {
                return;
            }
        }
    }

    /** Returns whether all queued requests match. */
    public boolean allMatch(Predicate<T> matches) {
        return Stream.concat(onTime.stream(), late.stream()).allMatch(queued -> matches.test(queued.request()));
    }

    /**
     * Moves requests that can no longer be on time behind the others. Returns the ones to reject: those that exceed the
     * bound on late requests, and those that were late for too long.
     *
     * @param maxLateTokens how many tokens of late requests may wait
     */
    public List<QueuedRequest<T>> expire(long nowMillis, long maxLateTokens) {
        List<QueuedRequest<T>> rejected = new ArrayList<>(late.stream()
                .filter(queued -> queued.lateUntilMillis() <= nowMillis)
                .toList());
        rejected.forEach(this::remove);
        List<QueuedRequest<T>> expired = onTime.stream()
                .filter(queued -> queued.onTimeUntilMillis() <= nowMillis)
                .toList();
        for (QueuedRequest<T> queued : expired) {
            removeOnTime(queued);
            if (lateTokens + queued.tokens() > maxLateTokens) {
                rejected.add(queued);
            } else {
                addLate(queued);
            }
        }
        return rejected;
    }

    /**
     * Removes and returns the requests that can't be sent in time, in order. What is removed is no longer ahead of
     * those behind it. A request that may still be on time is removed only if it couldn't be sent as a late one either.
     */
    List<QueuedRequest<T>> removeHopeless(HopelessTest<T> test) {
        List<QueuedRequest<T>> hopeless = new ArrayList<>();
        int requests = 0;
        long tokens = 0;
        int removedRequests = 0;
        long removedTokens = 0;
        for (QueuedRequest<T> queued : onTime) {
            if (test.isHopeless(queued, false, requests, tokens)
                    && isHopelessAsLate(queued, test, removedRequests, removedTokens)) {
                hopeless.add(queued);
                removedRequests++;
                removedTokens += queued.tokens();
            } else {
                requests++;
                tokens += queued.tokens();
            }
        }
        for (QueuedRequest<T> queued : late) {
            if (test.isHopeless(queued, true, requests, tokens)) {
                hopeless.add(queued);
            } else {
                requests++;
                tokens += queued.tokens();
            }
        }
        hopeless.forEach(this::remove);
        return hopeless;
    }

    private boolean isHopelessAsLate(
            QueuedRequest<T> queued, HopelessTest<T> test, int removedRequests, long removedTokens) {
        Work ahead = aheadOfLate(queued.priority(), queued.deadlineMillis());
        // The request itself is among those that can be on time.
        return test.isHopeless(
                queued, true, ahead.requests() - removedRequests - 1, ahead.tokens() - removedTokens - queued.tokens());
    }

    /** Removes the requests that match, and returns them in order. */
    public List<T> removeIf(Predicate<T> matches) {
        List<QueuedRequest<T>> removed = Stream.concat(onTime.stream(), late.stream())
                .filter(queued -> matches.test(queued.request()))
                .toList();
        removed.forEach(this::remove);
        return removed.stream().map(QueuedRequest::request).toList();
    }

    /** Returns whether a request is queued as late. */
    public boolean isLate(QueuedRequest<T> queued) {
        return late.contains(queued);
    }

    /** Returns the number of queued requests. */
    public int size() {
        return onTime.size() + late.size();
    }
}
