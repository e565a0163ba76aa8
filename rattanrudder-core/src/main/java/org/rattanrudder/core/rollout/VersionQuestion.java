package org.rattanrudder.core.rollout;

import java.util.List;
import java.util.OptionalLong;

/**
 * What a relay asks its peers of the times of desired versions, and whose questions its report answers.
 *
 * <p>How old a report is when it is read isn't known: it may have waited for as long as its reader was suspended. So a
 * reader uses the times in a report only if the report answers a question of its own, as if it had been sent when the
 * question was.
 *
 * @param askedAt when this relay asks, by its own clock; empty if it doesn't
 * @param answered the questions that were received before this report was made
 */
public record VersionQuestion(OptionalLong askedAt, List<Answered> answered) {
    /** Asks and answers nothing. */
    public static final VersionQuestion NONE = new VersionQuestion(OptionalLong.empty(), List.of());

    public VersionQuestion {
        answered = List.copyOf(answered);
    }

    /**
     * A question of a peer.
     *
     * @param relay the peer's process, as it names itself in its reports
     * @param askedAt when it asked, by its own clock
     */
    public record Answered(String relay, long askedAt) {}
}
