package org.rattanrudder.standins.model;

import java.util.HashMap;
import java.util.Map;

/** What all relays together did: their work at each engine, whatever each of them knows of it. */
final class ModelTally {
    private final Map<String, Long> work = new HashMap<>();
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
