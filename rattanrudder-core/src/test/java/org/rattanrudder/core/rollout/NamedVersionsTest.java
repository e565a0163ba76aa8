package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.rattanrudder.core.rollout.NamedVersions.Named;

class NamedVersionsTest {
    private final NamedVersions versions = new NamedVersions();

    /**
     * Weights are named, a relay is restarted ten seconds later and reads of them as if they were new. It would let
     * requests begin on old weights ten seconds longer than allowed.
     */
    @Test
    void theLongestThatAnyRelayHasKnownAVersionCounts() {
        versions.named("m", 2, 50_000);
        versions.known("m", 2, 10_000, 50_100);
        versions.known("m", 2, 3_000, 50_200);

        assertThat(versions.newest("m")).contains(new Named(2, 40_100));
    }

    @Test
    void ofAnotherVersionNothingIsTaken() {
        versions.named("m", 2, 50_000);
        versions.known("m", 1, 60_000, 50_100);
        versions.known("m", 3, 60_000, 50_100);
        versions.known("other", 1, 60_000, 50_100);

        assertThat(versions.newest("m")).contains(new Named(2, 50_000));
        assertThat(versions.newest("other")).isEmpty();
    }

    @Test
    void anOlderVersionNeverReplacesANewerOne() {
        assertThat(versions.named("m", 2, 10)).isTrue();
        assertThat(versions.named("m", 1, 20)).isFalse();
        assertThat(versions.named("m", 2, 30)).isFalse();
        assertThat(versions.newest("m")).contains(new Named(2, 10));
    }
}
