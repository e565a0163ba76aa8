package org.rattanrudder.core.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.rattanrudder.core.routing.Hashing;

/**
 * Decides which relays share a target: these normally send requests to it, and report each one to the other sharers at
 * once.
 *
 * <p>If every relay shared every target, each request would cost a message to every relay. In a large fleet a target is
 * shared by relays in its failure domain and by a few in others, up to a fixed number. All relays compute the same
 * result from names and failure domains; if they disagree for a moment, a request is reported later. {@link SendWindow}
 * decides how a relay uses targets that it doesn't share.
 */
final class TargetSharing {
    /** Up to this many relays share every target. */
    static final int MAX_RELAYS_SHARING_ALL = 9;

    /** Maximum number of sharers in the target's failure domain. */
    static final int MAX_NEAR_SHARERS = 12;

    /**
     * Number of sharers in other failure domains, which take over when those in the target's own domain are out of
     * capacity.
     */
    static final int FAR_SHARERS = 4;

    /** Minimum number of sharers, in any failure domain. */
    static final int MIN_SHARERS = 8;

    private final Map<String, Relay> relays = new HashMap<>();
    private String self = "";
    private long version;

    private record Relay(String name, long hash, String failureDomain) {}

    /**
     * Sets the live relays.
     *
     * @param ownName this relay's name
     * @param domains the failure domain of each relay by name, including this one
     */
    void updateRelays(String ownName, Map<String, String> domains) {
        boolean same = ownName.equals(self)
                && relays.values().stream()
                        .collect(Collectors.toMap(Relay::name, Relay::failureDomain))
                        .equals(domains);
        if (same) {
            return;
        }
        self = ownName;
        relays.keySet().retainAll(domains.keySet());
        domains.forEach((name, domain) -> relays.compute(
                name, (unchanged, known) -> new Relay(name, known == null ? Hashing.of(name) : known.hash(), domain)));
        version++;
    }

    /** Returns a number that changes with the set of relays; results computed for the same version stay valid. */
    long version() {
        return version;
    }

    /** Returns the other relays that share a target. */
    Set<String> otherSharers(long targetHash, String targetDomain) {
        return sharers(targetHash, targetDomain).stream()
                .filter(name -> !name.equals(self))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether this relay shares a target. */
    boolean isShared(long targetHash, String targetDomain) {
        return relays.size() <= MAX_RELAYS_SHARING_ALL
                || sharers(targetHash, targetDomain).contains(self);
    }

    private Collection<String> sharers(long targetHash, String targetDomain) {
        if (relays.size() <= MAX_RELAYS_SHARING_ALL) {
            return relays.keySet();
        }
        Map<Boolean, List<Relay>> byNearness = relays.values().stream()
                .sorted(Comparator.comparingLong((Relay relay) -> Hashing.combine(relay.hash(), targetHash))
                        .thenComparing(Relay::name))
                .collect(
                        Collectors.partitioningBy(relay -> relay.failureDomain().equals(targetDomain)));
        List<Relay> near = byNearness.get(true).stream().limit(MAX_NEAR_SHARERS).toList();
        long far = Math.max(FAR_SHARERS, MIN_SHARERS - near.size());
        return Stream.concat(near.stream(), byNearness.get(false).stream().limit(far))
                .map(Relay::name)
                .collect(Collectors.toCollection(HashSet::new));
    }
}
