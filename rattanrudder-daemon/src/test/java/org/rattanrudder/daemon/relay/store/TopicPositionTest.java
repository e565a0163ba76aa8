package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.store.TopicFollower.InitialRead;

class TopicPositionTest {
    /** Guards against records that are never read since they were written between two pages of a listing. */
    @Test
    void aListingEndsWhereItsFirstPageEnded() {
        TopicPosition position = new TopicPosition(InitialRead.NEWEST);

        assertThat(position.addPage(page(true, 7, "a", "b"))).contains("b");
        assertThat(position.addPage(page(false, 9, "c"))).isEmpty();
        position.applyListing();

        assertThat(position.listedKeys()).containsExactlyInAnyOrder("a", "b", "c");
        assertThat(position.next().offset()).isEqualTo(7);
    }

    /** Guards against an endless listing of a store that announces more pages and returns none. */
    @Test
    void aPageWithoutRecordsIsTheLast() {
        assertThat(new TopicPosition(InitialRead.NEWEST).addPage(page(true, 7))).isEqualTo(Optional.empty());
    }

    /** Guards against an endless listing by a key that its store sorts otherwise than the text that was read of it. */
    @Test
    void aPageWithoutANewKeyIsTheLast() {
        TopicPosition position = new TopicPosition(InitialRead.NEWEST);
        assertThat(position.addPage(page(true, 7, "a", "\ufffd"))).contains("\ufffd");
        assertThat(position.addPage(page(true, 7, "b", "\ufffd"))).contains("\ufffd");

        assertThat(position.addPage(page(true, 7, "b", "\ufffd"))).isEmpty();
    }

    /** Guards against keys that are taken for removed since a stale listing lacks them. */
    @ParameterizedTest
    @CsvSource({"4, false", "5, true", "6, true"})
    void aListingIsCurrentUnlessItEndsBeforeWhatWasRead(long end, boolean current) {
        TopicPosition position = new TopicPosition(InitialRead.NEWEST);
        position.advanceTo(LogPosition.START.plus(5));
        position.beginListing();
        position.addPage(page(false, end, "a"));

        assertThat(position.isListingCurrent()).isEqualTo(current);
    }

    /**
     * Guards against retained records that are skipped, and against a poll that asks again for records that the store
     * has discarded.
     */
    @ParameterizedTest
    @CsvSource({
        "NEWEST, 20, 30",
        "NEWEST_AND_KEPT, 20, 20",
        "NEWEST_AND_KEPT, 40, 30",
        "NEWEST_AND_KEPT, , 30",
    })
    void aKeyedTopicContinuesAfterTheListingOrAtTheFirstRetainedRecord(
            InitialRead reading, Long firstRetained, long expected) {
        TopicPosition position = new TopicPosition(reading);
        position.advanceTo(LogPosition.START.plus(10));
        position.onForgotten(optional(firstRetained));
        assertThat(position.next().offset()).isEqualTo(10);

        position.beginListing();
        position.addPage(page(false, 30, "a"));
        position.applyListing();

        assertThat(position.next().offset()).isEqualTo(expected);
    }

    /** Guards against a topic without keys that asks for the same records for ever, and against records never read. */
    @ParameterizedTest
    @CsvSource({"20, 20", "3, 3", "10, 11", ", 11"})
    void aTopicWithoutKeysContinuesAtTheFirstRetainedRecord(Long firstRetained, long expected) {
        TopicPosition position = new TopicPosition(InitialRead.KEPT);
        position.advanceTo(LogPosition.START.plus(10));

        position.onForgotten(optional(firstRetained));

        assertThat(position.next().offset()).isEqualTo(expected);
    }

    private static OptionalLong optional(Long value) {
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }

    private static StoreResponse.Listing page(boolean morePages, long end, String... keys) {
        List<KeyedRecord> records = Stream.of(keys)
                .map(key -> new KeyedRecord(LogPosition.START, key, Optional.empty()))
                .toList();
        return new StoreResponse.Listing(records, morePages, LogPosition.START.plus(end));
    }
}
