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
 * Decides which relays share a target: they send to it as a rule, and tell each other at once of what they place there.
 *
 * <p>If every relay shared every target, a request would cost a message to each relay. Among many relays a target is
 * shared by those of its failure domain and by a few of others, up to a fixed number. All relays work this out alike
 * from names and domains; where they disagree for a moment, a placement is heard of later. What a relay does with
 * targets that it doesn't share says {@link SendWindow}.
 */
final class TargetSharing {
    /** Up to so many relays share every target. */
    static final int FEW = 9;

    /** Relays of the target's failure domain that share it, at most. */
    static final int NEAR = 12;

    /** Relays of other failure domains that share it: they take over when its own have no room left. */
    static final int FAR = 4;

    /** Relays that share a target at least, in whichever failure domains. */
    static final int LEAST = 8;

    private final Map<String, Relay> relays = new HashMap<>();
    private String self = "";
    private long version;

    private record Relay(String name, long hash, String failureDomain) {}

    /**
     * Takes the relays that are there.
     *
     * @param ownName this relay's name
     * @param domains the failure domain of each relay by its name, of this one too
     */
    void relays(String ownName, Map<String, String> domains) {
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

    /** Returns a number that changes with the relays: what was worked out before holds as long as it stays. */
    long version() {
        return version;
    }

    /** Returns the other relays that share a target. */
    Set<String> others(long targetHash, String targetDomain) {
        return sharers(targetHash, targetDomain).stream()
                .filter(name -> !name.equals(self))
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether this relay shares a target. */
    boolean isOwn(long targetHash, String targetDomain) {
        return relays.size() <= FEW || sharers(targetHash, targetDomain).contains(self);
    }

    private Collection<String> sharers(long targetHash, String targetDomain) {
        if (relays.size() <= FEW) {
            return relays.keySet();
        }
        Map<Boolean, List<Relay>> byNearness = relays.values().stream()
                .sorted(Comparator.comparingLong((Relay relay) -> Hashing.combine(relay.hash(), targetHash))
                        .thenComparing(Relay::name))
                .collect(
                        Collectors.partitioningBy(relay -> relay.failureDomain().equals(targetDomain)));
        List<Relay> near = byNearness.get(true).stream().limit(NEAR).toList();
        long far = Math.max(FAR, LEAST - near.size());
        return Stream.concat(near.stream(), byNearness.get(false).stream().limit(far))
                .map(Relay::name)
                .collect(Collectors.toCollection(HashSet::new));
    }
}
