package org.rattanrudder.core.quarantine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the responses that other relays have to know of, each at most once in an interval. */
final class AnswersToTell {
    /** How long a response with a feature isn't told again; relays that have heard of it don't tell it either. */
    static final long TELL_INTERVAL_MILLIS = 2_000;

    private final Map<Feature, FeatureAnswer> waiting = new LinkedHashMap<>();
    private final Map<FeatureAnswer, Long> toldAt = new HashMap<>();

    /** Adds a response unless it was told within the interval. */
    void add(FeatureAnswer answer, long nowMillis) {
        Long told = toldAt.get(answer);
        if (told == null || nowMillis - told >= TELL_INTERVAL_MILLIS) {
            toldAt.put(answer, nowMillis);
            waiting.put(answer.feature(), answer);
        }
    }

    /** Records that another relay has told of a response. */
    void onTold(FeatureAnswer answer, long nowMillis) {
        toldAt.put(answer, nowMillis);
        if (waiting.getOrDefault(answer.feature(), answer).clearsUpToMillis() <= answer.clearsUpToMillis()) {
            waiting.remove(answer.feature());
        }
    }

    /** Returns the responses, and regards them as told. */
    List<FeatureAnswer> take() {
        List<FeatureAnswer> taken = List.copyOf(waiting.values());
        waiting.clear();
        return taken;
    }

    /** Takes back responses that couldn't be told; newer ones stay. */
    void onUntold(List<FeatureAnswer> untold) {
        untold.forEach(answer -> waiting.putIfAbsent(answer.feature(), answer));
    }

    /** Forgets what was told long ago. */
    void expire(long nowMillis) {
        toldAt.values().removeIf(since -> nowMillis - since >= Quarantine.CLEARED_MILLIS);
    }
}
