package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.routing.Hashing;

class TargetSharingTest {
    private static final int MAX_SHARERS = TargetSharing.MAX_NEAR_SHARERS + TargetSharing.FAR_SHARERS;

    private static Map<String, String> relays(int count, int domains) {
        Map<String, String> relays = new HashMap<>();
        for (int number = 0; number < count; number++) {
            relays.put("relay-" + number, "domain-" + number % domains);
        }
        return relays;
    }

    private static TargetSharing sharing(String self, Map<String, String> relays) {
        TargetSharing sharing = new TargetSharing();
        sharing.updateRelays(self, relays);
        return sharing;
    }

    /**
     * Guards against relays that disagree on the sharers of a target, so that a request isn't reported to all of them.
     */
    @Property(tries = 100)
    void allRelaysComputeSameSharers(
            @ForAll @IntRange(min = 1, max = 60) int count,
            @ForAll @IntRange(min = 1, max = 6) int domains,
            @ForAll @IntRange(max = 7) int targetDomain,
            @ForAll long target) {
        Map<String, String> relays = relays(count, domains);
        String domain = "domain-" + targetDomain;
        Set<String> sharers = new HashSet<>();
        for (String relay : relays.keySet()) {
            if (sharing(relay, relays).isShared(target, domain)) {
                sharers.add(relay);
            }
        }

        assertThat(sharers)
                .hasSizeBetween(
                        Math.min(count, TargetSharing.MIN_SHARERS),
                        Math.max(TargetSharing.MAX_RELAYS_SHARING_ALL, MAX_SHARERS));
        for (String relay : relays.keySet()) {
            Set<String> others = new HashSet<>(sharers);
            others.remove(relay);
            assertThat(sharing(relay, relays).otherSharers(target, domain)).isEqualTo(others);
        }
    }

    /** Guards against a relay that is left with few targets or none when its own failure domain is down. */
    @Property(tries = 20)
    void relaySharesTargetsInSeveralFailureDomains(@ForAll @IntRange(min = 10, max = 60) int count) {
        Map<String, String> relays = relays(count, 5);
        for (String relay : relays.keySet()) {
            TargetSharing sharing = sharing(relay, relays);
            Set<String> domains = new HashSet<>();
            for (int target = 0; target < 3 * count; target++) {
                String domain = "domain-" + target % 5;
                if (sharing.isShared(Hashing.of("target-" + target), domain)) {
                    domains.add(domain);
                }
            }
            assertThat(domains).hasSizeGreaterThan(1).contains(relays.get(relay));
        }
    }

    @Test
    void smallFleetSharesAllTargets() {
        TargetSharing sharing = sharing("relay-0", relays(TargetSharing.MAX_RELAYS_SHARING_ALL, 3));

        assertThat(sharing.isShared(7, "elsewhere")).isTrue();
        assertThat(sharing.otherSharers(7, "elsewhere")).hasSize(TargetSharing.MAX_RELAYS_SHARING_ALL - 1);
    }

    @Test
    void sharersFollowRelayChanges() {
        TargetSharing sharing = sharing("relay-0", relays(40, 5));
        long before = sharing.version();
        Set<String> sharers = sharing.otherSharers(7, "domain-2");

        sharing.updateRelays("relay-0", relays(40, 5));
        assertThat(sharing.version()).isEqualTo(before);

        Map<String, String> remaining = relays(40, 5);
        remaining.keySet().removeAll(sharers);
        sharing.updateRelays("relay-0", remaining);

        assertThat(sharing.version()).isNotEqualTo(before);
        assertThat(sharing.otherSharers(7, "domain-2")).doesNotContainAnyElementsOf(sharers);
    }
}
