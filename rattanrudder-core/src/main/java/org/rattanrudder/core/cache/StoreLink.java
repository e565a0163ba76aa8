package org.rattanrudder.core.cache;

import java.util.random.RandomGenerator;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;

/** A store as one target uses it: its circuit breaker, its throughput, and this target's share of its link. */
final class StoreLink {
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    final int index;
    final String name;
    final Address address;
    final LinkBudget budget;
    final StoreCircuitBreaker circuitBreaker;
    final ThroughputMeter throughput;
    private final long nameHash;
    private long incarnation;

    StoreLink(int index, StoreSettings settings, long shareBytesPerSecond, RandomGenerator random, long nowMicros) {
        this.index = index;
        this.name = settings.name();
        this.address = settings.address();
        this.budget = new LinkBudget(shareBytesPerSecond, nowMicros);
        this.circuitBreaker = new StoreCircuitBreaker(random);
        this.throughput = new ThroughputMeter(shareBytesPerSecond);
        this.nameHash = Digest.of(settings.name()).first();
    }

    boolean isSameAs(StoreSettings settings) {
        return name.equals(settings.name()) && address.equals(settings.address());
    }

    /**
     * Returns the weight of this store for a block by rendezvous hashing: the store with the highest weight is the
     * first choice.
     */
    long weight(Digest anchor) {
        long mixed = (anchor.first() ^ nameHash) * GOLDEN_RATIO;
        mixed = (mixed ^ (mixed >>> 32)) * GOLDEN_RATIO;
        return mixed ^ (mixed >>> 29);
    }

    /** Records the incarnation in a response; returns whether the store has restarted since the last one. */
    boolean updateIncarnation(long newIncarnation) {
        boolean restarted = incarnation != 0 && incarnation != newIncarnation;
        incarnation = newIncarnation;
        return restarted;
    }
}
