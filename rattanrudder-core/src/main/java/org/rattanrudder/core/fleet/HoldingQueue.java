package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests of one service that wait at the relay for an engine with room.
 *
 * <p>Those that can still be on time go first, by rank and then by how little time they have; then the late ones, by
 * their deadlines. The late ones are bounded by the work that they are: what would wait longer is refused at once,
 * since an overloaded service that works off everything in order serves all of it late. So is what has waited there
 * for long: its caller would leave, or be held to its deadline, without a try.
 *
 * @param <T> a request
 */
public final class HoldingQueue<T> {
    /** The part of the objective that a request waits to be on time; what is left must do for reading its prompt. */
    public static final double ON_TIME_WAIT_RATIO = 0.5;

    /**
     * How long a late request waits, as a multiple of the objective: its caller leaves at four times that, and one that
     * is told sooner to come back may be on time then.
     */
    public static final double LATE_WAIT_RATIO = 2;

    /**
     * Tokens of late requests that may wait for each engine, at all relays together: about two thirds of its memory, so
     * that a late request waits for some hundred ms and not for its deadline.
     */
    private static final long LATE_TOKENS_PER_ENGINE = 40_000;

    private final TreeSet<QueuedRequest<T>> onTime =
            new TreeSet<>(Comparator.<QueuedRequest<T>>comparingInt(QueuedRequest::priority)
                    .thenComparingLong(QueuedRequest::onTimeUntilMillis)
                    .thenComparingLong(QueuedRequest::sequence));
    private final TreeSet<QueuedRequest<T>> late =
            new TreeSet<>(Comparator.<QueuedRequest<T>>comparingInt(QueuedRequest::priority)
                    .thenComparingLong(QueuedRequest::deadlineMillis)
                    .thenComparingLong(QueuedRequest::sequence));
    private long lateTokens;
    private long numbers;

    /** Makes an empty line. */
    public HoldingQueue() {}

    /**
     * Returns the tokens of late requests that may wait at one relay. All relays wait for the same engines, so each has
     * its share.
     *
     * @param engines how many engines the service has
     * @param relays how many relays wait for them, this one included
     */
    public static long maxLateTokens(int engines, int relays) {
        return Math.max(1, engines) * LATE_TOKENS_PER_ENGINE / Math.max(1, relays);
    }

    /**
     * A place in the line.
     *
     * @param request who waits
     * @param priority its priority, 0 first
     * @param tokens its size, in tokens
     * @param onTimeUntilMillis when it must be sent to be on time
     * @param lateUntilMillis how long it waits once it is late; it is refused then
     * @param deadlineMillis when nobody waits for it any more
     * @param sequence tells places apart
     * @param <T> a request
     */
    public record QueuedRequest<T>(
            T request,
            int priority,
            int tokens,
            long onTimeUntilMillis,
            long lateUntilMillis,
            long deadlineMillis,
            long sequence) {}

    /** Joins the line. */
    public QueuedRequest<T> add(
            T request, int rank, int tokens, long onTimeUntilMillis, long lateUntilMillis, long deadlineMillis) {
        QueuedRequest<T> place = new QueuedRequest<>(
                request, rank, tokens, onTimeUntilMillis, lateUntilMillis, deadlineMillis, numbers++);
        onTime.add(place);
        return place;
    }

    /** Leaves the line. */
    public void remove(QueuedRequest<T> place) {
        if (!onTime.remove(place) && late.remove(place)) {
            lateTokens -= place.tokens();
        }
    }

    /** Returns the place whose turn it is. */
    public Optional<QueuedRequest<T>> first() {
        if (!onTime.isEmpty()) {
            return Optional.of(onTime.first());
        }
        return late.isEmpty() ? Optional.empty() : Optional.of(late.first());
    }

    /**
     * Offers requests in their order until one isn't taken.
     *
     * @param takes returns whether a request was sent; it must have left the line then
     */
    public void dispatchWhile(Predicate<T> takes) {
        Optional<QueuedRequest<T>> first = first();
        while (first.isPresent() && takes.test(first.get().request())) {
            first = first();
        }
    }

    /**
     * Moves requests that can't be on time any more behind the others, and returns those that can't wait there or have
     * waited there for too long.
     *
     * @param lateTokensAllowed the tokens of late requests that may wait
     */
    public List<QueuedRequest<T>> expire(long nowMillis, long lateTokensAllowed) {
        List<QueuedRequest<T>> refused = new ArrayList<>(late.stream()
                .filter(place -> place.lateUntilMillis() <= nowMillis)
                .toList());
        refused.forEach(this::remove);
        List<QueuedRequest<T>> expired = onTime.stream()
                .filter(place -> place.onTimeUntilMillis() <= nowMillis)
                .toList();
        for (QueuedRequest<T> place : expired) {
            onTime.remove(place);
            if (lateTokens + place.tokens() > lateTokensAllowed) {
                refused.add(place);
            } else {
                late.add(place);
                lateTokens += place.tokens();
            }
        }
        return refused;
    }

    /** Returns whether a place is among the late ones. */
    public boolean isLate(QueuedRequest<T> place) {
        return late.contains(place);
    }

    /** Returns how many wait. */
    public int size() {
        return onTime.size() + late.size();
    }
}
