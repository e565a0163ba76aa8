package org.rattanrudder.core.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import org.rattanrudder.core.routing.Hashing;

/**
 * Divides the requests that a target tolerates in a second among the registered relays.
 *
 * <p>Each relay works out its own share from the names alone, so the sum holds while relays can't hear each other, and
 * while what they heard of each other is old. All relays rank themselves alike for a target: those of its failure
 * domain first, then by rendezvous hashing. With fewer permits than relays the first ones have one each; otherwise all
 * have the same number, and the first ones one more. If each relay knows all but {@code m} of {@code n} relays, at most
 * {@code permits + m} requests are sent with fewer permits than relays, and at most {@code n * ceil(permits / (n - m))}
 * with more.
 */
public final class PermitShares {
    private final Map<String, Long> hashes = new HashMap<>();
    /** This relay's rank for each target; a target that is gone takes its rank with it. */
    private final Map<Target, Integer> ranks = new WeakHashMap<>();

    private Map<String, String> domains = Map.of();
    private String self = "";

    /** Creates shares of which this relay has none until the relays are known. */
    public PermitShares() {}

    /**
     * Sets the registered relays.
     *
     * @param ownName this relay's name
     * @param registered the failure domain of each relay by name; empty until they are known
     */
    public void updateRelays(String ownName, Map<String, String> registered) {
        if (ownName.equals(self) && registered.equals(domains)) {
            return;
        }
        self = ownName;
        domains = Map.copyOf(registered);
        hashes.keySet().retainAll(domains.keySet());
        ranks.clear();
    }

    /** Returns how many requests this relay may send to a target in any second; none while it knows no relays. */
    int ownShare(Target target, int permits) {
        if (!domains.containsKey(self)) {
            return 0;
        }
        int relays = domains.size();
        int rank = ranks.computeIfAbsent(target, unseen -> rank(target));
        return permits / relays + (rank < permits % relays ? 1 : 0);
    }

    private int rank(Target target) {
        String domain = target.registration().failureDomain();
        List<String> order = domains.keySet().stream()
                .sorted(Comparator.comparing((String name) -> !domain.equals(domains.get(name)))
                        .thenComparingLong(name -> Hashing.combine(hash(name), target.idHash()))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        return order.indexOf(self);
    }

    private long hash(String name) {
        return hashes.computeIfAbsent(name, Hashing::of);
    }
}
