package org.rattanrudder.core.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of prompts that one engine is likely to hold in its own memory.
 *
 * <p>Engines keep what they have read until they need the room, and drop first what was used the longest ago. Relays
 * know which prompts were sent there, and can tell what is left: a prompt whose parts an engine holds isn't read again
 * there. What is told of an engine's memory comes late and with gaps, and each engine would have to be asked.
 */
final class KeptParts {
    /** Parts that are remembered of one engine, whatever its memory: some 60 bytes each. */
    private static final int MOST_PARTS = 1_000;

    private final Map<Long, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;

    /** Notes that a prompt with these parts is read. */
    void used(List<KeptPart> parts) {
        for (KeptPart part : parts) {
            Integer before = tokensByPart.put(part.key(), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        dropEldest(Long.MAX_VALUE);
    }

    private void dropEldest(long roomTokens) {
        Iterator<Integer> eldest = tokensByPart.values().iterator();
        while ((tokens > roomTokens || tokensByPart.size() > MOST_PARTS) && eldest.hasNext()) {
            tokens -= eldest.next();
            eldest.remove();
        }
    }

    /**
     * Returns how many tokens of a prompt need not be read: its first parts up to one that is missing.
     *
     * @param roomTokens the engine's memory for prompts, in tokens; what no longer fits is forgotten
     */
    int heldTokens(List<KeptPart> parts, long roomTokens) {
        dropEldest(roomTokens);
        int held = 0;
        for (KeptPart part : parts) {
            if (!tokensByPart.containsKey(part.key())) {
                return held;
            }
            held += part.tokens();
        }
        return held;
    }

    /** Forgets everything: the engine's memory was emptied. */
    void clear() {
        tokensByPart.clear();
        tokens = 0;
    }
}
