package org.rattanrudder.core.time;

/**
 * The shortest and the longest time that may have passed since a common start.
 *
 * <p>These are two scales: a time of one is only ever compared with times of the same one.
 *
 * @param atLeastMillis the shortest time, in ms: what permits something after a while counts by it
 * @param atMostMillis the longest time, in ms: what forbids something after a while counts by it
 */
public record Moment(long atLeastMillis, long atMostMillis) {}
