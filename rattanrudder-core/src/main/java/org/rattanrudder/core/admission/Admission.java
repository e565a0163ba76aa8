package org.rattanrudder.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * Admission control for one target: decides which requests run, which are queued and which are refused.
 *
 * <pre>{@code
 * Admission.Decision<String> decision = admission.offer(request, now);
 * Optional<String> first = admission.startNext(now);
 * }</pre>
 *
 * @param <T> the type of a request's identifier
 */
public interface Admission<T> {
    /** Sets new limits. Running and queued requests are kept. */
    void updateLimits(AdmissionLimits limits);

    /**
     * Queues a request, or refuses it because it can't start in time or because the queue is full and it is the
     * least urgent.
     */
    Decision<T> offer(AdmissionRequest<T> request, long nowMicros);

    /** Returns whether a request would be refused because it can't start in time, without queueing it. */
    boolean wouldMissDeadline(AdmissionRequest<T> request, long nowMicros);

    /** Starts the next queued request, if a slot is free for it. */
    Optional<T> startNext(long nowMicros);

    /** Records the first byte of a running request's answer. */
    void onFirstByte(T item, long nowMicros);

    /** Releases the slot of a request whose answer is complete, and updates the cost estimates. */
    void onFinished(T item, long nowMicros);

    /** Releases the slot of a running request, or removes a queued one; does nothing for any other. */
    void cancel(T item);

    /** Removes and returns the queued requests that can no longer start in time. */
    List<T> removeLate(long nowMicros);

    /** Removes and returns all queued requests. */
    List<T> removeAllQueued();

    /** Returns how long a new request of this priority is expected to wait, in microseconds. */
    long expectedWaitMicros(int priority, long nowMicros);

    /** Returns the number of running requests. */
    int runningCount();

    /** Returns the number of queued requests. */
    int queuedCount();

    /**
     * The result of {@link #offer}.
     *
     * @param <T> the type of a request's identifier
     */
    sealed interface Decision<T> {}

    /**
     * The request was queued; it may be able to start at once.
     *
     * @param evicted a less urgent request that was evicted from the full queue
     * @param <T> the type of a request's identifier
     */
    record Queued<T>(Optional<T> evicted) implements Decision<T> {}

    /**
     * The request was refused.
     *
     * @param reason why
     * @param waitMicros how long it was expected to wait
     * @param <T> the type of a request's identifier
     */
    record Refused<T>(Reason reason, long waitMicros) implements Decision<T> {}

    /** Why a request is refused. */
    enum Reason {
        /** The request can't meet its deadline. */
        TOO_LATE,
        /** The queue is full, and no queued request is less urgent. */
        FULL
    }
}
