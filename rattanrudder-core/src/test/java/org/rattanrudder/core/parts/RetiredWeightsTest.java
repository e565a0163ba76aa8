package org.rattanrudder.core.parts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class RetiredWeightsTest {
    private static final long INTERVAL = 100;
    private static final long NAMED_AT = 10_000;
    private static final long NOW = NAMED_AT + RetiredWeights.WAIT_AFTER_NAMED_MILLIS;
    private static final Set<String> THREE = Set.of("one", "two", "three");

    private final RetiredWeights retired = relay("one", THREE);
    private final RetiredWeights sameView = relay("two", THREE);

    private static RetiredWeights relay(String name, Set<String> relays) {
        RetiredWeights relay = new RetiredWeights(name);
        relay.updateRelays(relays, INTERVAL);
        relay.onStarted(0);
        relay.evictableBefore(2, NAMED_AT);
        return relay;
    }

    private RetirementReport vote(long before) {
        return new RetirementReport(before, true, sameView.report().relaysHash());
    }

    private void hear(String relay, RetirementReport report, long now) {
        retired.onPeerReport(relay, report, true, now);
    }

    private void assertEvictableAfter(long waitMillis) {
        assertThat(retired.evictableBefore(2, NOW)).isZero();
        assertThat(retired.evictableBefore(2, NOW + waitMillis - 1)).isZero();
        assertThat(retired.evictableBefore(2, NOW + waitMillis)).isEqualTo(2);
    }

    /** Guards against parts that are evicted while a peer sends requests to a target that only it knows. */
    @Test
    void partsStayWhileNoMajorityHasVoted() {
        retired.updateOldestServed(2);
        hear("two", vote(1), NOW);

        assertThat(retired.evictableBefore(2, NOW)).isZero();
        assertThat(retired.evictableBefore(2, NOW + 600_000)).isEqualTo(1);
    }

    /** Guards against stores that stay full of old parts: once nobody fetches them, only fetches in progress count. */
    @Test
    void partsAreEvictableSoonAfterAllHaveVoted() {
        retired.updateOldestServed(2);
        hear("two", vote(2), NOW);
        hear("three", vote(2), NOW);

        assertEvictableAfter(RetiredWeights.WAIT_AFTER_ALL_MILLIS);
    }

    /** Guards against stores that stay full of old parts while a peer is cut off or has ended. */
    @Test
    void partsAreEvictableThoughOnePeerIsSilent() {
        retired.updateOldestServed(2);
        hear("two", vote(2), NOW);

        assertEvictableAfter(RetiredWeights.MIN_WAIT_AFTER_MAJORITY_MILLIS);
    }

    /** Guards against the short wait while a relay that this one hasn't read of goes by earlier reports of a peer. */
    @Test
    void partsWaitForAMajorityWhilePeersKnowOtherRelays() {
        long hashOfFour =
                relay("two", Set.of("one", "two", "three", "four")).report().relaysHash();
        RetirementReport ofFour = new RetirementReport(2, true, hashOfFour);
        retired.updateOldestServed(2);
        hear("two", ofFour, NOW);
        hear("three", vote(2), NOW);

        assertEvictableAfter(RetiredWeights.MIN_WAIT_AFTER_MAJORITY_MILLIS);
    }

    /** Guards against eviction before a relay that goes by the log alone must have read of newer weights. */
    @Test
    void partsWaitUntilNewerWeightsAreNamedLongEnough() {
        retired.updateOldestServed(2);
        hear("two", vote(2), NAMED_AT);
        hear("three", vote(2), NAMED_AT);
        retired.evictableBefore(2, NAMED_AT);

        assertThat(retired.evictableBefore(2, NOW - 1)).isZero();
        assertThat(retired.evictableBefore(2, NOW)).isEqualTo(2);
    }

    /** Guards against fetches of old parts by a relay that has lost the log and doesn't read which targets are gone. */
    @Test
    void aRelayThatHearsAMajorityOfVotesFetchesNoOldParts() {
        hear("two", vote(1), NOW);
        hear("three", vote(1), NOW);
        assertThat(retired.mayFetch(1, 1, NOW)).isTrue();

        hear("two", vote(2), NOW);
        assertThat(retired.mayFetch(1, 1, NOW)).isTrue();
        hear("three", vote(2), NOW);

        assertThat(retired.mayFetch(1, 1, NOW)).isFalse();
        assertThat(retired.mayFetch(2, 1, NOW)).isTrue();
        assertThat(retired.report().retiredBefore()).isEqualTo(2);
    }

    /** Guards against fetches by a relay that hears neither its peers nor the log. */
    @Test
    void aRelayThatHearsNobodyStopsFetching() {
        hear("two", vote(1), NOW);
        assertThat(retired.mayFetch(1, 1, NOW + RetiredWeights.MIN_REPORT_VALID_MILLIS))
                .isTrue();

        assertThat(retired.mayFetch(1, 1, NOW + RetiredWeights.MIN_REPORT_VALID_MILLIS + 1))
                .isFalse();
    }

    /** Guards against reports that waited in a socket during a freeze and count as new after it. */
    @Test
    void reportsThatMayHaveWaitedShowOnlyVotes() {
        retired.onPeerReport("two", vote(1), false, NOW);
        assertThat(retired.mayFetch(1, 1, NOW)).isFalse();

        retired.onPeerReport("two", vote(2), false, NOW);
        retired.onPeerReport("three", vote(2), false, NOW);
        assertThat(retired.report().retiredBefore()).isEqualTo(2);
    }

    /** Guards against prompts that are computed anew while peers are down: the log shows which weights are in use. */
    @Test
    void aRelayWithoutPeersFetchesTheNewestWeightsThatTheLogNames() {
        retired.onLogRead(NOW);

        assertThat(retired.mayFetch(1, 1, NOW)).isTrue();
        assertThat(retired.mayFetch(1, 2, NOW)).isFalse();
        assertThat(retired.mayFetch(1, 1, NOW + RetiredWeights.LOG_READ_VALID_MILLIS + 1))
                .isFalse();
    }

    /** Guards against a relay that has voted, restarts, and fetches what its peers evict. */
    @Test
    void aRelayThatStartsFetchesOnlyTheNewestWeights() {
        retired.onStarted(2);
        retired.onLogRead(NOW);
        hear("two", vote(1), NOW);

        assertThat(retired.mayFetch(1, 2, NOW)).isFalse();
        assertThat(retired.mayFetch(2, 2, NOW)).isTrue();
    }

    /** Guards against a peer that has voted, restarts without the log, and counts as one that hasn't voted. */
    @Test
    void aPeerThatHasNotReadTheLogHoldsNothing() {
        hear("two", RetirementReport.NONE, NOW);
        hear("three", RetirementReport.NONE, NOW);

        assertThat(retired.mayFetch(1, 1, NOW)).isFalse();
    }

    /** Guards against fetches by a relay that has voted and restarts without the log. */
    @Test
    void aRelayThatHasNotReadTheLogFetchesNothing() {
        RetiredWeights started = new RetiredWeights("one");
        started.updateRelays(THREE, INTERVAL);
        started.onPeerReport("two", vote(1), true, NOW);

        assertThat(started.mayFetch(1, 1, NOW)).isFalse();
        assertThat(started.report().logRead()).isFalse();
    }

    /** Guards against a target that comes back with old weights and whose parts are then fetched again. */
    @Test
    void aVoteIsNeverTakenBack() {
        retired.updateOldestServed(2);
        retired.updateOldestServed(1);
        retired.updateOldestServed(0);
        hear("two", vote(1), NOW);
        hear("three", vote(1), NOW);

        assertThat(retired.report().retiredBefore()).isEqualTo(2);
        assertThat(retired.mayFetch(1, 2, NOW)).isFalse();
    }

    /** Guards against a short wait in a large fleet, where peers believe each report until the next one is due. */
    @Test
    void partsWaitAsLongAsReportsAreBelieved() {
        retired.updateRelays(THREE, 6_000);
        retired.updateOldestServed(2);
        hear("two", vote(2), NOW);
        hear("three", vote(1), NOW);
        retired.evictableBefore(2, NOW);
        long later = 6_000 + RetiredWeights.REPORT_DELAY_MILLIS - RetiredWeights.MIN_REPORT_VALID_MILLIS;
        long wait = RetiredWeights.MIN_WAIT_AFTER_MAJORITY_MILLIS + later;

        assertThat(retired.evictableBefore(2, NOW + wait - 1)).isEqualTo(1);
        assertThat(retired.evictableBefore(2, NOW + wait)).isEqualTo(2);
    }

    /** Guards against a relay that takes itself for the only one since it lost the log before others registered. */
    @Test
    void aRelayThatKnowsOfNoOtherNeedsTheLog() {
        RetiredWeights alone = relay("one", Set.of("one"));
        assertThat(alone.mayFetch(1, 1, NOW)).isFalse();

        alone.onLogRead(NOW);
        assertThat(alone.mayFetch(1, 2, NOW)).isTrue();

        alone.updateOldestServed(2);
        alone.evictableBefore(2, NOW);
        assertThat(alone.evictableBefore(2, NOW + RetiredWeights.WAIT_AFTER_ALL_MILLIS))
                .isEqualTo(2);
    }

    /** Guards against decisions before the registered relays are known. */
    @Test
    void nothingIsFetchedOrEvictedBeforeRelaysAreKnown() {
        RetiredWeights started = relay("one", Set.of());
        started.updateOldestServed(2);
        started.evictableBefore(2, NOW);

        assertThat(started.mayFetch(2, 2, NOW)).isFalse();
        assertThat(started.evictableBefore(2, NOW + 600_000)).isZero();
    }
}
