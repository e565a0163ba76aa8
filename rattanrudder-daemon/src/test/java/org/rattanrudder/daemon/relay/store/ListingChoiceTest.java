package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.core.topics.RepeatPolicy;

class ListingChoiceTest {
    private static final LogPosition NEXT = LogPosition.startOf(1).plus(7);
    private static final long LISTED_BYTES = 1_000;

    private ListingChoice choice;

    @BeforeEach
    void create() {
        choice = new ListingChoice();
    }

    /** Guards against a poll over a slow link that carries several versions of which only the newest counts. */
    @ParameterizedTest
    @CsvSource({"0, 2, false", "1, 0, false", "1, 1, false", "1, 2, true"})
    void severalUnreadRecordsAreListedIfTheLinkIsSlow(long slowerMillis, long aheadRecords, boolean listed) {
        choice.onRecordsRead(RepeatPolicy.LATE_ANSWER_MILLIS + slowerMillis);
        choice.onPeerPosition(NEXT.plus(aheadRecords));

        assertThat(choice.isListedAt(NEXT)).isEqualTo(listed);
    }

    /** Guards against a poll that is given up and asked for again, with more to carry each time. */
    @Test
    void anUnfinishedPollIsFollowedByOneListing() {
        choice.onPollUnfinished();

        assertThat(choice.isListedAt(NEXT)).isTrue();
        choice.onListing();
        assertThat(choice.isListedAt(NEXT)).isFalse();
    }

    /** Guards against a poll that takes the whole timeout though a listing would be shorter. */
    @Test
    void anAnswerThatIsLongerThanAListingIsGivenUpOnASlowLink() {
        assertThat(choice.maxPolledBytes(LISTED_BYTES)).isEqualTo(Long.MAX_VALUE);

        choice.onRecordsRead(RepeatPolicy.LATE_ANSWER_MILLIS + 1);

        assertThat(choice.maxPolledBytes(LISTED_BYTES)).isEqualTo(LISTED_BYTES);
    }

    /** Guards against polls that are given up with their first byte, since the last listing has failed. */
    @Test
    void withoutACompleteListingNoPollIsGivenUp() {
        choice.onRecordsRead(RepeatPolicy.LATE_ANSWER_MILLIS + 1);

        assertThat(choice.maxPolledBytes(0)).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against a relay that never reads the last well-formed version, since a listing lacks it. */
    @Test
    void aPollFollowsAListingWhoseRecordIsMalformed() {
        choice.onPollUnfinished();
        choice.barListing();

        assertThat(choice.isListedAt(NEXT)).isFalse();
        assertThat(choice.maxPolledBytes(LISTED_BYTES)).isEqualTo(Long.MAX_VALUE);
        choice.onPolled();
        choice.onPollUnfinished();
        assertThat(choice.isListedAt(NEXT)).isTrue();
    }
}
