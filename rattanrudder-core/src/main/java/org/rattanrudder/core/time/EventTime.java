package org.rattanrudder.core.time;

/**
 * The time at which a state machine handles an event: a {@link Moment} in microseconds.
 *
 * <p>These are two scales: a time of one is only ever compared with times of the same one.
 *
 * @param atLeastMicros the shortest time that may have passed: what permits something after a while counts by it
 * @param atMostMicros the longest time that may have passed: what forbids something after a while counts by it
 */
public record EventTime(long atLeastMicros, long atMostMicros) {
    /** Returns a time of which no part is in doubt. */
    public static EventTime certain(long micros) {
        return new EventTime(micros, micros);
    }
}
