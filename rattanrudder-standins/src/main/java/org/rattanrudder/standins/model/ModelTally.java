package org.rattanrudder.standins.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/** What all relays together did: their work at each engine, whatever each of them knows of it. */
final class ModelTally {
    private static final long LIMIT_WINDOW_MILLIS = 4_000;
    private static final long AT_ONCE_MILLIS = 100;

    private final Map<String, Long> work = new HashMap<>();
    private final Map<String, List<Long>> limitedSends = new HashMap<>();
    private final Map<String, List<Long>> turnedAway = new HashMap<>();
    private long sent;
    private long sentAbove;
    private long messages;

    /** Notes work that was sent to an engine, or, below 0, that has ended. */
    void placed(String engine, long tokens) {
        work.merge(engine, tokens, Long::sum);
    }

    /** Returns the work of all relays at an engine, in tokens. */
    long workAt(String engine) {
        return work.getOrDefault(engine, 0L);
    }

    /** Notes a send to an engine, and the limit that it names then. */
    void sentTo(String engine, OptionalDouble limit, long nowMillis) {
        if (limit.isPresent()) {
            limitedSends.computeIfAbsent(engine, unseen -> new ArrayList<>()).add(nowMillis);
        }
    }

    /** Returns the most requests that an engine got within four seconds while it named a limit. */
    int mostToLimitedEngine() {
        return most(limitedSends, LIMIT_WINDOW_MILLIS);
    }

    /** Notes that an engine has turned a request away. */
    void turnedAway(String engine, long nowMillis) {
        turnedAway.computeIfAbsent(engine, unseen -> new ArrayList<>()).add(nowMillis);
    }

    /** Returns how many requests engines have turned away. */
    int turnedAway() {
        return turnedAway.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the most requests that an engine has turned away within a tenth of a second. */
    int mostTurnedAwayAtOnce() {
        return most(turnedAway, AT_ONCE_MILLIS);
    }

    private static int most(Map<String, List<Long>> byEngine, long windowMillis) {
        return byEngine.values().stream()
                .mapToInt(times -> mostWithin(times, windowMillis))
                .max()
                .orElse(0);
    }

    private static int mostWithin(List<Long> sends, long windowMillis) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < sends.size(); last++) {
            while (sends.get(last) - sends.get(first) >= windowMillis) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Returns how many requests engines got while they named a limit. */
    int toLimitedEngines() {
        return limitedSends.values().stream().mapToInt(List::size).sum();
    }

    /** Notes a send to an engine that then has so much work, against its memory. */
    void sent(long tokens, long memoryTokens) {
        sent++;
        sentAbove += tokens > 1.25 * memoryTokens ? 1 : 0;
    }

    void message() {
        messages++;
    }

    /** Returns the part of all sends that met an engine with over a quarter more work than it has memory for. */
    double shareAbove() {
        return sent == 0 ? 0 : (double) sentAbove / sent;
    }

    long messages() {
        return messages;
    }
}
