package org.rattanrudder.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * Decides who gets a place at one target, who waits and who is refused.
 *
 * <pre>{@code
 * Admission.Decision<String> decision = admission.offer(applicant, now);
 * Optional<String> first = admission.start(now);
 * }</pre>
 *
 * @param <T> the type of what names a request
 */
public interface Admission<T> {
    /** Takes new limits; what runs and waits stays. */
    void updateLimits(AdmissionLimits limits);

    /** Takes a request, or refuses it because it can't start in time or is the least urgent of too many. */
    Decision<T> offer(AdmissionRequest<T> applicant, long nowMicros);

    /** Returns whether a request would be refused because it can't start in time, without taking it. */
    boolean wouldMissDeadline(AdmissionRequest<T> applicant, long nowMicros);

    /** Gives the next request a place, if one is free for it. */
    Optional<T> startNext(long nowMicros);

    /** Takes note of the first byte of the answer of a request that has its place. */
    void onFirstByte(T item, long nowMicros);

    /** Takes back the place of a request whose answer is whole, and learns what it cost. */
    void onFinished(T item, long nowMicros);

    /** Takes back the place of a request that broke off, or takes out one that waits; else nothing happens. */
    void cancel(T item);

    /** Takes out those that wait and can't start in time any more. */
    List<T> removeLate(long nowMicros);

    /** Takes out all that wait. */
    List<T> removeAllQueued();

    /** Returns how long a newcomer of this priority would wait, in microseconds. */
    long expectedWaitMicros(int priority, long nowMicros);

    /** Returns how many have a place. */
    int runningCount();

    /** Returns how many wait. */
    int queuedCount();

    /**
     * What came of an offer.
     *
     * @param <T> the type of what names a request
     */
    sealed interface Decision<T> {}

    /**
     * It waits, or can start at once.
     *
     * @param evicted a less urgent request that had to give way
     * @param <T> the type of what names a request
     */
    record Queued<T>(Optional<T> evicted) implements Decision<T> {}

    /**
     * It is refused.
     *
     * @param reason why
     * @param waitMicros how long it would have waited
     * @param <T> the type of what names a request
     */
    record Refused<T>(Reason reason, long waitMicros) implements Decision<T> {}

    /** Why a request is refused. */
    enum Reason {
        /** It can't meet its deadline. */
        TOO_LATE,
        /** Too many wait, and none is less urgent. */
        FULL
    }
}
