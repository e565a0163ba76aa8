package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.rollout.DesiredVersions.DesiredVersion;
import org.rattanrudder.core.rollout.DesiredVersions.Source;

class DesiredVersionsTest {
    private static final long ALLOWED = 13_000;
    private static final long LIMIT = 15_000;

    private final DesiredVersions started = new DesiredVersions();
    private final DesiredVersions versions = new DesiredVersions();

    @BeforeEach
    void readNothingAtFirst() {
        versions.onReadToEnd(10);
    }

    /**
     * A relay is suspended for six seconds while a version becomes desired, and reads of it when it goes on. It would
     * let requests start on old weights six seconds longer than allowed.
     */
    @Test
    void timeCountsFromLastReadWithoutTheVersion() {
        versions.onReadToEnd(50_000);
        versions.add("m", 2, 56_100);

        assertThat(versions.versions()).containsExactly(new DesiredVersion("m", 2, 50_000, Source.READ));
        assertThat(versions.oldestAllowed("m", ALLOWED, 62_999)).isZero();
        assertThat(versions.oldestAllowed("m", ALLOWED, 63_000)).isEqualTo(2);
    }

    /** An answer may come after a later one was asked for; its question is the older one. */
    @Test
    void earlierReadThatEndsLaterProvesNothingMore() {
        versions.onReadToEnd(50_000);
        versions.onReadToEnd(49_000);
        versions.add("m", 2, 50_200);

        assertThat(versions.versions()).containsExactly(new DesiredVersion("m", 2, 50_000, Source.READ));
    }

    @Test
    void peersCannotAddVersions() {
        versions.add("m", 2, 50_000);
        versions.applyPeerTime("m", 3, 40_000, 50_100);
        versions.applyPeerTime("other", 1, 40_000, 50_100);

        assertThat(versions.newest("m")).isEqualTo(2);
        assertThat(versions.newest("other")).isZero();
    }

    @Test
    void olderVersionNeverReplacesNewerOne() {
        assertThat(versions.add("m", 2, 10)).isTrue();
        assertThat(versions.add("m", 1, 20)).isFalse();
        assertThat(versions.add("m", 2, 30)).isFalse();
        assertThat(versions.newest("m")).isEqualTo(2);
    }

    /**
     * A second version becomes desired four seconds after the first. When the time was counted from the second one,
     * requests started on weights older than both 19 s after the first became desired.
     */
    @ParameterizedTest
    @CsvSource({"10000, 0", "22999, 0", "23000, 2", "26999, 2", "27000, 3"})
    void timeIsCountedPerVersion(long now, long oldest) {
        versions.onReadToEnd(10_000);
        versions.add("m", 2, 10_100);
        versions.onReadToEnd(14_000);
        versions.add("m", 3, 14_100);

        assertThat(versions.oldestAllowed("m", ALLOWED, now)).isEqualTo(oldest);
    }

    /**
     * A relay that starts after two changes finds only the newest version; without the one before it, requests on the
     * oldest weights would last as long as the newest version allows.
     */
    @Test
    void versionThatPeersAloneRememberEndsRequestsToo() {
        started.add("m", 3, 20_000);
        started.applyPeerTime("m", 2, 7_600, 20_100);
        started.applyPeerTime("m", 3, 12_500, 20_100);

        assertThat(started.oldestAllowed("m", ALLOWED, 20_599)).isZero();
        assertThat(started.oldestAllowed("m", ALLOWED, 20_700)).isEqualTo(2);
        assertThat(started.newest("m")).isEqualTo(3);
    }

    /**
     * All relays lose power six seconds after a change of the desired version, and restart two seconds later without
     * knowing since when it has been desired. A request started on the old weights 14 s after the change, where 10 s
     * are allowed.
     */
    @Test
    void versionThatTheFirstReadFindsCountsAsDesiredLongAgo() {
        started.add("m", 3, 20);

        assertThat(started.oldestAllowed("m", ALLOWED, 20)).isEqualTo(3);
        assertThat(started.versions()).extracting(DesiredVersion::source).containsExactly(Source.FOUND_AT_START);
    }

    /**
     * One of several relays restarts: its peers report since when a version is desired, so it may use engines that are
     * still loading. Each peer's time is proved by itself, so the latest one counts.
     */
    @Test
    void latestTimeOfAnyPeerReplacesUnknownTime() {
        started.add("m", 3, 20_000);
        started.applyPeerTime("m", 3, 15_000, 20_000);
        started.applyPeerTime("m", 3, 16_000, 20_000);
        started.applyPeerTime("m", 3, 9_000, 20_000);

        assertThat(started.oldestAllowed("m", ALLOWED, 28_999)).isZero();
        assertThat(started.oldestAllowed("m", ALLOWED, 29_000)).isEqualTo(3);
        assertThat(started.versions()).containsExactly(new DesiredVersion("m", 3, 16_000, Source.PEER));
    }

    @Test
    void versionAddedWhileRunningHasATime() {
        started.add("m", 3, 20_000);
        started.onReadToEnd(50_000);
        started.add("m", 4, 50_100);

        assertThat(started.oldestAllowed("m", ALLOWED, 62_999)).isEqualTo(3);
        assertThat(started.oldestAllowed("m", ALLOWED, 63_000)).isEqualTo(4);
    }

    /** More versions in quick succession than are remembered must not let requests start on the oldest for longer. */
    @Test
    void forgottenVersionLeavesItsTimeToTheNext() {
        versions.add("m", 2, 20);
        for (int version = 3; version < 40; version++) {
            versions.onReadToEnd(1_000L * version);
            versions.add("m", version, 1_000L * version);
        }

        assertThat(versions.oldestAllowed("m", ALLOWED, 13_010)).isGreaterThanOrEqualTo(2);
        assertThat(versions.oldestAllowed("m", ALLOWED, 51_999)).isEqualTo(38);
    }

    @ParameterizedTest
    @CsvSource({"100, 50000, false", "5000, 50000, true", "5000, 69000, false"})
    void peersAreAskedOnlyWhileTheyMayKnowBetter(long lateMillis, long now, boolean asks) {
        versions.onReadToEnd(49_000);
        versions.add("m", 2, 49_000 + lateMillis);

        assertThat(versions.needsPeers(VersionExchange.USUAL_READ_MILLIS, LIMIT, now))
                .isEqualTo(asks);
    }
}
