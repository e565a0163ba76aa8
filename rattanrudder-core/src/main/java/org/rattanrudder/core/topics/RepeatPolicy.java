package org.rattanrudder.core.topics;

import java.util.List;
import java.util.OptionalLong;

/**
 * When a call to the platform's store is repeated on a new connection, since its answer is late.
 *
 * <p>A connection may fall silent for good, without a reset, while new ones work. The first answer counts. A store that
 * answers slowly gets calls more than once, see {@link RepeatSchedule}. All times are in ms.
 */
public final class RepeatPolicy {
    /**
     * Maximum number of a call's attempts that await an answer: the first, and two repeats. A further repeat ends the
     * earliest one, which has had its time for an answer by then.
     */
    public static final int MAX_IN_FLIGHT = 3;

    /** Time from which a call's answer is late. */
    public static final long LATE_ANSWER_MILLIS = 200;

    /** Time from the first repeat to the second. */
    private static final long SECOND_REPEAT_MILLIS = 150;

    /** Time from the first repeat, which the third one ends, to the third. */
    private static final long THIRD_REPEAT_MILLIS = ReadTiming.ANSWER_MILLIS + 50;

    /** When repeats are made, counted from the first call. */
    private static final List<Long> REPEATS_AFTER_MILLIS = List.of(
            LATE_ANSWER_MILLIS, LATE_ANSWER_MILLIS + SECOND_REPEAT_MILLIS, LATE_ANSWER_MILLIS + THIRD_REPEAT_MILLIS);

    /** Maximum number of times a call is made, the first included: several connections in a row may be silent. */
    public static final int MAX_CALLS = 1 + REPEATS_AFTER_MILLIS.size();

    private RepeatPolicy() {}

    /**
     * Returns after which time a call is repeated, counted from when it was first made; empty if it isn't any more.
     *
     * @param calls how many times it was made
     */
    public static OptionalLong repeatAfterMillis(int calls) {
        return calls < MAX_CALLS ? OptionalLong.of(REPEATS_AFTER_MILLIS.get(calls - 1)) : OptionalLong.empty();
    }
}
