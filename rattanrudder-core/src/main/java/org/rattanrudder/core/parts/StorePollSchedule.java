package org.rattanrudder.core.parts;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.routing.Hashing;

/**
 * Decides when a relay polls a context store for updates.
 *
 * <p>A store accepts only a limited number of concurrent polls and charges for the rejected ones. A few relays, which
 * all relays select alike, poll each store and forward its updates to the others; those poll it themselves only when
 * they have received no update for a while.
 */
public final class StorePollSchedule {
    /**
     * Number of relays that poll a store. In a small fleet, the others must receive updates without delay while one
     * poller restarts or is cut off. In a large one, each update is forwarded so often that one poller has to suffice;
     * if it fails, another relay polls a second later.
     */
    private static final int POLLERS_OF_SMALL_FLEET = 2;

    private static final int POLLERS_OF_LARGE_FLEET = 1;
    private static final int LARGE_FLEET_PEERS = 8;

    /** Interval between a response and the next poll: changes in between share one response. */
    public static final long POLL_INTERVAL_MILLIS = 250;

    /** Age of the last update at which a relay that isn't a poller polls the store itself. */
    private static final long STALE_MILLIS = 1_000;

    /** Additional delay per relay, so that they don't all poll at once when updates stop. */
    private static final long STAGGER_MILLIS = 40;

    private final Address store;
    private final long ownWeight;

    /** Cached relay weights: hashing a name costs more than the rest of the decision. */
    private final Map<String, Long> weights = new HashMap<>();

    /** Creates the schedule of one relay for one store. */
    public StorePollSchedule(String self, Address store) {
        this.store = store;
        ownWeight = weight(self);
    }

    /** Returns how long after its last update of the store the relay polls it. */
    public long pollDelayMillis(Set<String> others) {
        if (weights.size() > others.size()) {
            weights.keySet().retainAll(others);
        }
        long rank = others.stream()
                .filter(other -> Long.compareUnsigned(weights.computeIfAbsent(other, this::weight), ownWeight) > 0)
                .count();
        int pollers = others.size() >= LARGE_FLEET_PEERS ? POLLERS_OF_LARGE_FLEET : POLLERS_OF_SMALL_FLEET;
        return rank < pollers ? POLL_INTERVAL_MILLIS : STALE_MILLIS + (rank - pollers) * STAGGER_MILLIS;
    }

    private long weight(String relay) {
        return Hashing.combine(Hashing.of(relay), Hashing.of(store.toString()));
    }
}
