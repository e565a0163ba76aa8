package org.rattanrudder.core.admission;

import java.util.List;
import java.util.Optional;

/**
 * The queue of the requests that wait for a slot of one target, and the order in which they are served.
 *
 * @param <T> the type of a request's identifier
 */
interface RequestQueue<T> {
    /**
     * Adds a request; returns the one that was evicted because the queue is full, which may be the new request itself.
     */
    Optional<QueuedRequest<T>> add(QueuedRequest<T> request);

    /**
     * Removes and returns the request to serve next.
     *
     * @param maxPriority the highest priority number that may be served now
     */
    Optional<QueuedRequest<T>> next(int maxPriority);

    /** Removes the request of an item, if it is queued. */
    Optional<QueuedRequest<T>> remove(T item);

    /** Corrects what a customer has been charged by the difference between a request's actual and expected cost. */
    void charge(QueuedRequest<T> request, long differenceMicros);

    /** Returns the priorities that have queued requests, the most urgent first. */
    List<Integer> priorities();

    /** Returns the requests of a priority in the order in which they would be served if no more arrived. */
    List<QueuedRequest<T>> inOrder(int priority);

    /** Returns the expected cost in microseconds of all requests of a priority. */
    long workMicros(int priority);

    /** Returns the earliest time by which a request of a priority must start. */
    long earliestStartMicros(int priority);

    /**
     * Returns the expected cost in microseconds of the requests of the new request's priority that are served before
     * it.
     */
    long workAheadMicros(QueuedRequest<T> newRequest);

    /** Returns the expected cost in microseconds of all more urgent requests. */
    long moreUrgentWorkMicros(int priority);

    /** Returns how many more urgent priorities have queued requests. */
    int moreUrgentLevels(int priority);

    /** Returns whether any less urgent request is queued. */
    boolean hasLessUrgent(int priority);

    /** Sets how many requests may be queued from now on; those already queued are kept. */
    void setCapacity(int capacity);

    /** Returns the number of queued requests of a priority. */
    int size(int priority);

    /** Returns the number of queued requests. */
    int size();
}
