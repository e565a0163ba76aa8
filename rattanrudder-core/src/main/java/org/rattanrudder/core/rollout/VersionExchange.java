package org.rattanrudder.core.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;
import org.rattanrudder.core.rollout.VersionQuestion.Answered;

/**
 * Asks peers for the times of desired versions that this relay can't prove itself, and answers their questions.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class VersionExchange {
    /** Most questions that a report answers, so that it fits into a message when many relays start together. */
    static final int MAX_ANSWERED = 32;

    /** The time between two reads of the log that didn't find a version, with its waits. */
    static final long USUAL_READ_MILLIS = 4_000;

    private final DesiredVersions versions;
    private final Map<String, Question> questions = new HashMap<>();
    private OptionalLong firstAskedAt = OptionalLong.empty();
    private long lastAskedAt;

    /**
     * A question that was received.
     *
     * @param relay the peer's process, as it names itself in its reports
     * @param askedAt when the peer asked, by its clock
     * @param receivedAt when it arrived, by ours
     */
    private record Question(String relay, long askedAt, long receivedAt) {}

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
        questions.values().removeIf(question -> nowMillis - question.receivedAt() > limitMillis);
        boolean asks = versions.needsPeers(USUAL_READ_MILLIS, limitMillis, nowMillis);
        if (asks) {
            firstAskedAt = firstAskedAt.isPresent() ? firstAskedAt : OptionalLong.of(nowMillis);
            lastAskedAt = nowMillis;
        }
        return new VersionQuestion(asks ? OptionalLong.of(nowMillis) : OptionalLong.empty(), answered());
    }

    /** A relay that can prove nothing itself answers nobody. */
    private List<Answered> answered() {
        if (!versions.provesAny()) {
            return List.of();
        }
        return questions.values().stream()
                .sorted(Comparator.comparingLong(Question::receivedAt).reversed())
                .limit(MAX_ANSWERED)
                .map(question -> new Answered(question.relay(), question.askedAt()))
                .toList();
    }

    /**
     * Handles a question; the last one of each peer counts.
     *
     * @param peer the name of the peer, which its processes share
     * @param relay the peer's process, as it names itself in its reports
     */
    public void onAsked(String peer, String relay, long askedAt, long nowMillis) {
        questions.put(peer, new Question(relay, askedAt, nowMillis));
    }

    /** Applies the versions that a peer has told with an answer, unless this relay asked nothing at that time. */
    public void onAnswered(long askedAt, List<KnownWeights> told, long nowMillis) {
        if (firstAskedAt.isEmpty() || askedAt < firstAskedAt.getAsLong() || askedAt > lastAskedAt) {
            return;
        }
        told.forEach(known ->
                versions.applyPeerTime(known.model(), known.version(), askedAt - known.ageMillis(), nowMillis));
    }
}
