package org.rattanrudder.core.quarantine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Remembers which features of requests were answered lately, within a bound. */
final class AnsweredFeatures {
    /** Maximum number of features; those with the oldest answer are evicted. */
    static final int MAX_FEATURES = 16_000;

    /** Ordered by the time of the last answer, oldest first. */
    private final Map<Feature, Answer> answers = new LinkedHashMap<>();

    private final Consumer<Feature> onChanged;

    /**
     * The last answer to a request with a feature.
     *
     * @param endedAt when it ended
     * @param clearsUpToMillis up to which time crashes aren't put down to the feature, as a Unix time
     */
    record Answer(long endedAt, long clearsUpToMillis) {
        private static final Answer NONE = new Answer(Long.MIN_VALUE / 2, 0);

        /** Returns whether a crash at a Unix time isn't put down to the feature. */
        boolean clears(long crashMillis) {
            return crashMillis <= clearsUpToMillis;
        }

        /** Returns whether it ended after a time or within the minute before it. */
        boolean isSince(long atMillis) {
            return endedAt > atMillis - Quarantine.CLEARED_MILLIS;
        }
    }

    /**
     * Creates a memory of no answers.
     *
     * @param onChanged is told of each feature whose answer has changed
     */
    AnsweredFeatures(Consumer<Feature> onChanged) {
        this.onChanged = onChanged;
    }

    /** Returns the last answer to a request with a feature; one that clears nothing if none is known. */
    Answer find(Feature feature) {
        return answers.getOrDefault(feature, Answer.NONE);
    }

    /** Records an answer, and returns whether it says more than the one before. */
    boolean record(FeatureAnswer answer, long nowMillis) {
        Answer known = answers.remove(answer.feature());
        long clears = known == null ? 0 : known.clearsUpToMillis();
        answers.put(answer.feature(), new Answer(nowMillis, Math.max(clears, answer.clearsUpToMillis())));
        onChanged.accept(answer.feature());
        Iterator<Feature> oldest = answers.keySet().iterator();
        while (answers.size() > MAX_FEATURES) {
            onChanged.accept(oldest.next());
            oldest.remove();
        }
        return known == null
                || clears < answer.clearsUpToMillis()
                || nowMillis - known.endedAt() >= Quarantine.CLEARED_MILLIS;
    }

    /** Returns whether a feature had an answer at a time or within the minute before it, or has had one since. */
    boolean wasAnswered(Feature feature, long atMillis) {
        return find(feature).isSince(atMillis);
    }

    /** Returns up to which time crashes aren't put down to a feature, as a Unix time; 0 if nothing clears it. */
    long clearsUpTo(Feature feature) {
        return find(feature).clearsUpToMillis();
    }
}
