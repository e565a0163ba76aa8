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
    private static final int MOST = TargetSharing.NEAR + TargetSharing.FAR;

    private static Map<String, String> relays(int count, int domains) {
        Map<String, String> relays = new HashMap<>();
        for (int number = 0; number < count; number++) {
            relays.put("relay-" + number, "domain-" + number % domains);
        }
        return relays;
    }

    private static TargetSharing sharing(String self, Map<String, String> relays) {
        TargetSharing sharing = new TargetSharing();
        sharing.relays(self, relays);
        return sharing;
    }

    /** Guards against relays that think of each other's shares differently, so that nobody is told of a placement. */
    @Property(tries = 100)
    void allRelaysWorkOutTheSameShares(
            @ForAll @IntRange(min = 1, max = 60) int count,
            @ForAll @IntRange(min = 1, max = 6) int domains,
            @ForAll @IntRange(max = 7) int targetDomain,
            @ForAll long target) {
        Map<String, String> relays = relays(count, domains);
        String domain = "domain-" + targetDomain;
        Set<String> owners = new HashSet<>();
        for (String relay : relays.keySet()) {
            if (sharing(relay, relays).isOwn(target, domain)) {
                owners.add(relay);
            }
        }

        assertThat(owners).hasSizeBetween(Math.min(count, TargetSharing.LEAST), Math.max(TargetSharing.FEW, MOST));
        for (String relay : relays.keySet()) {
            Set<String> others = new HashSet<>(owners);
            others.remove(relay);
            assertThat(sharing(relay, relays).others(target, domain)).isEqualTo(others);
        }
    }

    /** Guards against a relay that is left with no target, or with few, while its own failure domain is lost. */
    @Property(tries = 20)
    void aRelaySharesTargetsInSeveralFailureDomains(@ForAll @IntRange(min = 10, max = 60) int count) {
        Map<String, String> relays = relays(count, 5);
        for (String relay : relays.keySet()) {
            TargetSharing sharing = sharing(relay, relays);
            Set<String> domains = new HashSet<>();
            for (int target = 0; target < 3 * count; target++) {
                String domain = "domain-" + target % 5;
                if (sharing.isOwn(Hashing.of("target-" + target), domain)) {
                    domains.add(domain);
                }
            }
            assertThat(domains).hasSizeGreaterThan(1).contains(relays.get(relay));
        }
    }

    @Test
    void fewRelaysShareAllTargets() {
        TargetSharing sharing = sharing("relay-0", relays(TargetSharing.FEW, 3));

        assertThat(sharing.isOwn(7, "elsewhere")).isTrue();
        assertThat(sharing.others(7, "elsewhere")).hasSize(TargetSharing.FEW - 1);
    }

    @Test
    void sharesFollowTheRelaysThatAreThere() {
        TargetSharing sharing = sharing("relay-0", relays(40, 5));
        long before = sharing.version();
        Set<String> told = sharing.others(7, "domain-2");

        sharing.relays("relay-0", relays(40, 5));
        assertThat(sharing.version()).isEqualTo(before);

        Map<String, String> left = relays(40, 5);
        left.keySet().removeAll(told);
        sharing.relays("relay-0", left);

        assertThat(sharing.version()).isNotEqualTo(before);
        assertThat(sharing.others(7, "domain-2")).doesNotContainAnyElementsOf(told);
    }
}
