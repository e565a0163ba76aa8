package org.rattanrudder.core.topics;

import java.util.OptionalLong;

/**
 * When a call to the platform's store is repeated on a new connection, since its answer is late.
 *
 * <p>A connection may fall silent for good, without a reset, while new ones work. The first answer counts. A store that
 * answers slowly gets calls more than once, see {@link RepeatSchedule}. All times are in ms.
 */
public final class RepeatPolicy {
    /** Maximum number of times a call is made, the first included: several connections in a row may be silent. */
    public static final int MAX_CALLS = 4;

    /** Maximum number of a call's attempts that await an answer: a further repeat ends the one before it. */
    public static final int MAX_IN_FLIGHT = 2;

    /** Time from which a call's answer is late. */
    static final long LATE_ANSWER_MILLIS = 200;

    /** Time between two repeats. */
    static final long REPEAT_INTERVAL_MILLIS = 150;

    private RepeatPolicy() {}

    /**
     * Returns after which time a call is repeated, counted from when it was first made; empty if it isn't any more.
     *
     * @param calls how many times it was made
     */
    public static OptionalLong repeatAfterMillis(int calls) {
        return calls < MAX_CALLS
                ? OptionalLong.of(LATE_ANSWER_MILLIS + (calls - 1) * REPEAT_INTERVAL_MILLIS)
                : OptionalLong.empty();
    }
}
