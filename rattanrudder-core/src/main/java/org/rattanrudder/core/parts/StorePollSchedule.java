package org.rattanrudder.core.parts;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.routing.Hashing;

/**
 * Decides which relays ask a context store for its news.
 *
 * <p>A store answers only so many such calls at once and charges for the rest. A few relays, the same ones in
 * everybody's eyes, ask each store and tell the others, who ask themselves only when they have heard nothing for a
 * while.
 */
public final class StorePollSchedule {
    /**
     * Relays that ask a store. Among few, the others must hear of it at once while one of them is restarted or cut off;
     * among many, each answer is told so often that one has to do, and another one asks a second later.
     */
    private static final int ASKING_OF_FEW = 2;

    private static final int ASKING_OF_MANY = 1;
    private static final int MANY = 8;

    /** The time between an answer and the next question, in ms: changes that come meanwhile share one answer. */
    public static final long POLL_INTERVAL_MILLIS = 250;

    /** How old news may grow before a relay that isn't on duty asks itself, in ms. */
    private static final long PATIENCE_MILLIS = 1_000;

    /** Relays lose patience one after the other, in ms, so that they don't all ask at once when news fails to come. */
    private static final long TURN_MILLIS = 40;

    private final Address store;
    private final long ownWeight;

    /** Weights of relays, kept since a hash of a name costs more than the rest of the decision. */
    private final Map<String, Long> weights = new HashMap<>();

    /** Makes the duty of one relay towards one store. */
    public StorePollSchedule(String self, Address store) {
        this.store = store;
        ownWeight = weight(self);
    }

    /** Returns how long after its last news of the store the relay asks it, in ms. */
    public long pollDelayMillis(Set<String> others) {
        if (weights.size() > others.size()) {
            weights.keySet().retainAll(others);
        }
        long rank = others.stream()
                .filter(other -> Long.compareUnsigned(weights.computeIfAbsent(other, this::weight), ownWeight) > 0)
                .count();
        int asking = others.size() >= MANY ? ASKING_OF_MANY : ASKING_OF_FEW;
        return rank < asking ? POLL_INTERVAL_MILLIS : PATIENCE_MILLIS + (rank - asking) * TURN_MILLIS;
    }

    private long weight(String relay) {
        return Hashing.combine(Hashing.of(relay), Hashing.of(store.toString()));
    }
}
