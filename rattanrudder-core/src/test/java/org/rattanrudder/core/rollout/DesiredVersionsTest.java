package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.rollout.DesiredVersions.DesiredVersion;

class NamedVersionsTest {
    private static final long ALLOWED = 13_000;

    private final DesiredVersions versions = new DesiredVersions();

    /**
     * Weights are named, a relay is restarted ten seconds later and reads of them as if they were new. It would let
     * requests begin on old weights ten seconds longer than allowed.
     */
    @Test
    void theLongestThatAnyRelayHasKnownAVersionCounts() {
        versions.addDesired("m", 2, 50_000);
        versions.applyPeerAge("m", 2, 10_000, 50_100);
        versions.applyPeerAge("m", 2, 3_000, 50_200);

        assertThat(versions.versionsWithKnownAge()).containsExactly(new DesiredVersion("m", 2, 40_100));
    }

    @Test
    void aVersionIsTakenOnlyFromTheStore() {
        versions.addDesired("m", 2, 50_000);
        versions.applyPeerAge("m", 3, 60_000, 50_100);
        versions.applyPeerAge("other", 1, 60_000, 50_100);

        assertThat(versions.newest("m")).isEqualTo(2);
        assertThat(versions.newest("other")).isZero();
    }

    @Test
    void anOlderVersionNeverReplacesANewerOne() {
        assertThat(versions.addDesired("m", 2, 10)).isTrue();
        assertThat(versions.addDesired("m", 1, 20)).isFalse();
        assertThat(versions.addDesired("m", 2, 30)).isFalse();
        assertThat(versions.newest("m")).isEqualTo(2);
    }

    /**
     * A second version is named four seconds after the first. Checks begin on the weights before both of them nineteen
     * seconds after the first was named, since the time was counted from the second.
     */
    @ParameterizedTest
    @CsvSource({"10000, 0", "22999, 0", "23000, 2", "26999, 2", "27000, 3"})
    void eachVersionHasItsOwnTime(long now, long oldest) {
        versions.addDesired("m", 2, 10_000);
        versions.addDesired("m", 3, 14_000);

        assertThat(versions.oldestAllowed("m", ALLOWED, now)).isEqualTo(oldest);
    }

    /** A relay that is started after both namings reads only the newest; the others know of the one before. */
    @Test
    void theTimeOfAnEarlierVersionIsLearntFromOthers() {
        versions.addDesired("m", 3, 20_000);
        versions.applyPeerAge("m", 2, 12_500, 20_100);

        assertThat(versions.oldestAllowed("m", ALLOWED, 20_700)).isEqualTo(2);
        assertThat(versions.newest("m")).isEqualTo(3);
    }

    /**
     * Weights are named, six seconds later all relays lose power, and come back after two more. None of them knows
     * since when the weights were named. A check began on the old ones 14 s after the naming, where 10 s are allowed.
     */
    @Test
    void whereNobodyKnowsSinceWhenAVersionCountsAsNamedLongAgo() {
        versions.addFoundAtStart("m", 3);

        assertThat(versions.oldestAllowed("m", ALLOWED, 20)).isEqualTo(3);
        assertThat(versions.versionsWithKnownAge()).isEmpty();
    }

    /** One relay of several is restarted: the others say since when, and the engines that still load may be used. */
    @Test
    void whoeverKnowsSinceWhenIsBelieved() {
        versions.addFoundAtStart("m", 3);
        versions.applyPeerAge("m", 3, 4_000, 20_000);
        versions.applyPeerAge("m", 3, 3_000, 20_000);

        assertThat(versions.oldestAllowed("m", ALLOWED, 28_999)).isZero();
        assertThat(versions.oldestAllowed("m", ALLOWED, 29_000)).isEqualTo(3);
        assertThat(versions.versionsWithKnownAge()).containsExactly(new DesiredVersion("m", 3, 16_000));
    }

    @Test
    void aVersionThatIsNamedWhileTheRelayRunsHasItsWholeTime() {
        versions.addFoundAtStart("m", 3);
        versions.addDesired("m", 4, 50_000);

        assertThat(versions.oldestAllowed("m", ALLOWED, 62_999)).isEqualTo(3);
        assertThat(versions.oldestAllowed("m", ALLOWED, 63_000)).isEqualTo(4);
    }
}
