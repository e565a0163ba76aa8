package org.rattanrudder.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.rattanrudder.core.rollout.VersionQuestion.Answered;

/**
 * Asks peers for the times of desired versions that this relay can't prove itself, and answers their questions.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class VersionExchange {
    /** How long a question is answered: a peer asks again in each report until it knows. */
    private static final long ANSWERED_MILLIS = 2_000;

    /** The time between two reads of the log that didn't find a version, with its waits. */
    static final long USUAL_READ_MILLIS = 4_000;

    private final DesiredVersions versions;
    private final Map<String, Question> questions = new HashMap<>();

    /**
     * A question that was received.
     *
     * @param askedAt when the peer asked, by its clock
     * @param receivedAt when it arrived, by ours
     */
    private record Question(long askedAt, long receivedAt) {}

    /** Creates an exchange of what a relay knows. */
    public VersionExchange(DesiredVersions versions) {
        this.versions = versions;
    }

    /**
     * Returns what the next report asks and answers.
     *
     * @param limitMillis how long after it became desired a version's time matters
     */
    public VersionQuestion next(long limitMillis, long nowMillis) {
        questions.values().removeIf(question -> nowMillis - question.receivedAt() > ANSWERED_MILLIS);
        boolean asks = versions.needsPeers(USUAL_READ_MILLIS, limitMillis, nowMillis);
        List<Answered> answered = questions.entrySet().stream()
                .map(question ->
                        new Answered(question.getKey(), question.getValue().askedAt()))
                .toList();
        return new VersionQuestion(asks ? OptionalLong.of(nowMillis) : OptionalLong.empty(), answered);
    }

    /** Handles a question of a peer; the last one counts. */
    public void onAsked(String relay, long askedAt, long nowMillis) {
        questions.put(relay, new Question(askedAt, nowMillis));
    }
}
