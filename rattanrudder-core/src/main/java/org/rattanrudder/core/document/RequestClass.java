package org.rattanrudder.core.document;

/**
 * One class of requests, such as a check or an audit.
 *
 * @param name its name, which callers give in the header {@code Rattanrudder-Class}
 * @param priority 0 goes first
 * @param deadlineMillis the time from acceptance until the first byte of the answer is due
 * @param objectiveMillis the maximum time to the first byte of a request that the objective counts as good
 * @param objectiveShare the share of requests that the objective requires to be good, such as 0.99
 */
public record RequestClass(
        String name, int priority, long deadlineMillis, long objectiveMillis, double objectiveShare) {}
