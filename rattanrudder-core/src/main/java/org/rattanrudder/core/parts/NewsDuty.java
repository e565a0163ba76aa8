package org.rattanrudder.core.parts;

import java.util.Collection;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.routing.Hashing;

/**
 * Decides which relays ask a context store for its news.
 *
 * <p>A store answers only so many such calls at once and charges for the rest. Thirty relays that each asked twelve
 * stores were refused 13,000 times on one day. A few relays, the same ones in everybody's eyes, ask each store and tell
 * the others, who ask themselves only when they have heard nothing for a while.
 */
public final class NewsDuty {
    /**
     * Relays that ask a store. Among few, the others must hear of it at once while one of them is restarted or cut off;
     * among many, each answer is told so often that one has to do, and another one asks a second later.
     */
    private static final int ASKING_OF_FEW = 2;

    private static final int ASKING_OF_MANY = 1;
    private static final int MANY = 8;

    /** The time between an answer and the next question, in ms: changes that come meanwhile share one answer. */
    public static final long GAP_MILLIS = 250;

    /** How old news may grow before a relay that isn't on duty asks itself, in ms. */
    private static final long PATIENCE_MILLIS = 1_000;

    /** Relays lose patience one after the other, in ms, so that they don't all ask at once when news fails to come. */
    private static final long TURN_MILLIS = 40;

    private NewsDuty() {}

    /** Returns how long after its last news of a store a relay asks it, in ms. */
    public static long askAfterMillis(String self, Collection<String> others, Address store) {
        long rank = others.stream()
                .filter(other -> Long.compareUnsigned(weight(other, store), weight(self, store)) > 0)
                .count();
        int asking = others.size() >= MANY ? ASKING_OF_MANY : ASKING_OF_FEW;
        return rank < asking ? GAP_MILLIS : PATIENCE_MILLIS + (rank - asking) * TURN_MILLIS;
    }

    private static long weight(String relay, Address store) {
        return Hashing.combine(Hashing.of(relay), Hashing.of(store.toString()));
    }
}
