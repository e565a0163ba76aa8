package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.rollout.DesiredVersions.DesiredVersion;
import org.rattanrudder.core.rollout.DesiredVersions.Source;

class DesiredVersionsTest {
    private static final long ALLOWED = 13_000;

    private final DesiredVersions versions = new DesiredVersions();

    /**
     * A relay restarts ten seconds after a version became desired and reads of it as if it were new. It would let
     * requests start on old weights ten seconds longer than allowed.
     */
    @Test
    void longestAgeOfAnyRelayCounts() {
        versions.addDesired("m", 2, 50_000);
        versions.applyPeerAge("m", 2, 10_000, 50_100);
        versions.applyPeerAge("m", 2, 3_000, 50_200);

        assertThat(versions.versionsWithKnownAge()).containsExactly(new DesiredVersion("m", 2, 40_100, Source.PEER));
    }

    @Test
    void peersCannotAddVersions() {
        versions.addDesired("m", 2, 50_000);
        versions.applyPeerAge("m", 3, 60_000, 50_100);
        versions.applyPeerAge("other", 1, 60_000, 50_100);

        assertThat(versions.newest("m")).isEqualTo(2);
        assertThat(versions.newest("other")).isZero();
    }

    @Test
    void olderVersionNeverReplacesNewerOne() {
        assertThat(versions.addDesired("m", 2, 10)).isTrue();
        assertThat(versions.addDesired("m", 1, 20)).isFalse();
        assertThat(versions.addDesired("m", 2, 30)).isFalse();
        assertThat(versions.newest("m")).isEqualTo(2);
    }

    /**
     * A second version becomes desired four seconds after the first. When the time was counted from the second one,
     * requests started on weights older than both 19 s after the first became desired.
     */
    @ParameterizedTest
    @CsvSource({"10000, 0", "22999, 0", "23000, 2", "26999, 2", "27000, 3"})
    void ageIsCountedPerVersion(long now, long oldest) {
        versions.addDesired("m", 2, 10_000);
        versions.addDesired("m", 3, 14_000);

        assertThat(versions.oldestAllowed("m", ALLOWED, now)).isEqualTo(oldest);
    }

    /** A relay that starts after both changes reads only the newest version; its peers know the previous one. */
    @Test
    void ageOfPreviousVersionIsAcceptedFromPeers() {
        versions.addDesired("m", 3, 20_000);
        versions.applyPeerAge("m", 2, 12_500, 20_100);

        assertThat(versions.oldestAllowed("m", ALLOWED, 20_700)).isEqualTo(2);
        assertThat(versions.newest("m")).isEqualTo(3);
    }

    /**
     * All relays lose power six seconds after a change of the desired version, and restart two seconds later without
     * knowing since when it has been desired. A request started on the old weights 14 s after the change, where 10 s
     * are allowed.
     */
    @Test
    void versionOfUnknownAgeCountsAsDesiredLongAgo() {
        versions.addFoundAtStart("m", 3);

        assertThat(versions.oldestAllowed("m", ALLOWED, 20)).isEqualTo(3);
        assertThat(versions.versionsWithKnownAge()).isEmpty();
    }

    /**
     * One of several relays restarts: its peers report since when a version is desired, so it may use engines that are
     * still loading.
     */
    @Test
    void peerAgeReplacesUnknownAge() {
        versions.addFoundAtStart("m", 3);
        versions.applyPeerAge("m", 3, 4_000, 20_000);
        versions.applyPeerAge("m", 3, 3_000, 20_000);

        assertThat(versions.oldestAllowed("m", ALLOWED, 28_999)).isZero();
        assertThat(versions.oldestAllowed("m", ALLOWED, 29_000)).isEqualTo(3);
        assertThat(versions.versionsWithKnownAge()).containsExactly(new DesiredVersion("m", 3, 16_000, Source.PEER));
    }

    @Test
    void versionAddedWhileRunningStartsWithAgeZero() {
        versions.addFoundAtStart("m", 3);
        versions.addDesired("m", 4, 50_000);

        assertThat(versions.oldestAllowed("m", ALLOWED, 62_999)).isEqualTo(3);
        assertThat(versions.oldestAllowed("m", ALLOWED, 63_000)).isEqualTo(4);
    }
}
