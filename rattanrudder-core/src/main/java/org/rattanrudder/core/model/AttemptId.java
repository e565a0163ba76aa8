package org.rattanrudder.core.model;

/**
 * Identifies one attempt to run a request, uniquely across all processes and restarts.
 *
 * @param entryIncarnation the incarnation of the entry that accepted the request
 * @param sequence the number of the request at that entry
 * @param attempt the number of the attempt, from 1
 */
public record AttemptId(long entryIncarnation, long sequence, int attempt) {
    /** Returns the id of the next attempt of the same request. */
    public AttemptId next() {
        return new AttemptId(entryIncarnation, sequence, attempt + 1);
    }

    /** Returns the request's id as logged, which is the same for all of its attempts. */
    public String requestId() {
        return Long.toHexString(entryIncarnation) + "-" + sequence;
    }

    @Override
    public String toString() {
        return requestId() + "-" + attempt;
    }
}
