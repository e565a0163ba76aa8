package org.rattanrudder.core.time;

import java.util.Locale;
import java.util.OptionalLong;

/**
 * A disagreement of a process's clocks, and what was concluded from it.
 *
 * @param kind what is believed to have happened
 * @param timeOfDayMillis by how much the time of day went ahead of the monotonic clock, in ms; negative if it fell back
 * @param bootMillis the same of the clock that counts suspensions, in ms; empty if it can't be read
 * @param atLeastMillis the suspended time that is counted as passed for certain, in ms
 * @param atMostMillis the suspended time that is counted as possible, in ms
 */
public record ClockDisturbance(
        Kind kind, long timeOfDayMillis, OptionalLong bootMillis, long atLeastMillis, long atMostMillis) {

    /** What is believed to have happened. */
    public enum Kind {
        /** The machine was suspended: both clocks that count suspensions show the same length. */
        SUSPENDED,
        /** The time of day has jumped or was adjusted: nothing else shows that time has passed. */
        TIME_OF_DAY_JUMPED,
        /** A suspension or a jump of the time of day, which speaks alone. */
        UNDECIDED,
        /** The clock that counts suspensions shows another length than the time of day. */
        DISPUTED;

        /** Returns the name in logs. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
