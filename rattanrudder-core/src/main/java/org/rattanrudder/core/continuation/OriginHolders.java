package org.rattanrudder.core.continuation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.routing.Hashing;

/**
 * Names the relays that are told what began a stream, and that are asked for it when its caller comes back elsewhere.
 *
 * <p>All relays rank the live relays by a hash of the stream and take the first few, so that a stream costs the same
 * however many relays there are. If two disagree on which relays live, one of the few is still the same in most cases.
 */
public final class OriginHolders {
    private final int count;
    private final Map<String, Long> hashes = new HashMap<>();

    private record Ranked(String relay, long rank) {}

    /**
     * Creates a ranking without relays.
     *
     * @param count how many relays hold each stream
     */
    public OriginHolders(int count) {
        this.count = count;
    }

    /** Sets the relays that may hold streams. */
    public void updateRelays(Collection<String> relays) {
        hashes.keySet().retainAll(relays);
        relays.forEach(relay -> hashes.computeIfAbsent(relay, Hashing::of));
    }

    /** Returns the relays that hold a stream, the first in rank first. */
    public List<String> of(StreamKey key) {
        List<Ranked> best = new ArrayList<>();
        Comparator<Ranked> order = Comparator.comparingLong(Ranked::rank).thenComparing(Ranked::relay);
        hashes.forEach((relay, hash) -> {
            Ranked next = new Ranked(relay, Hashing.combine(key.first(), hash));
            if (best.size() < count || count > 0 && order.compare(next, best.get(count - 1)) < 0) {
                best.add(next);
                best.sort(order);
            }
            if (best.size() > count) {
                best.remove(count);
            }
        });
        return best.stream().map(Ranked::relay).toList();
    }
}
