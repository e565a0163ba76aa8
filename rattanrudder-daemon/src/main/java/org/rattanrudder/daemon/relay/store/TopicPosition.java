package org.rattanrudder.daemon.relay.store;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreResponse;

/** How far a topic has been read, by listings of the newest record of each key and by polls. */
final class TopicPosition {
    private final TopicFollower.InitialRead reading;
    private final Set<String> listedKeys = new HashSet<>();
    private LogPosition next = LogPosition.START;
    private long firstRetainedOffset;
    private LogPosition listingEnd = LogPosition.NONE;

    /** Creates the position of a topic that hasn't been read. */
    TopicPosition(TopicFollower.InitialRead reading) {
        this.reading = reading;
    }

    /** Returns whether the topic's records have keys, so that it is listed. */
    boolean isKeyed() {
        return reading != TopicFollower.InitialRead.KEPT;
    }

    /** Returns whether a listing holds all that is read of the topic. */
    boolean isReadByListing() {
        return reading == TopicFollower.InitialRead.NEWEST;
    }

    /** Returns up to where the topic has been read. */
    LogPosition next() {
        return next;
    }

    /** Returns whether a page of the current listing, or of the last one, has been read. */
    boolean hasListed() {
        return !listingEnd.equals(LogPosition.NONE);
    }

    /** Returns where the current listing ends, or the last one; {@link LogPosition#NONE} before its first page. */
    LogPosition listingEnd() {
        return listingEnd;
    }

    /** Returns the keys in the current listing, or in the last one. */
    Set<String> listedKeys() {
        return Set.copyOf(listedKeys);
    }

    /** Begins an era, of which nothing was read. */
    void beginEra(long era) {
        next = LogPosition.startOf(era);
        firstRetainedOffset = 0;
        beginListing();
    }

    /** Begins a new listing. */
    void beginListing() {
        listedKeys.clear();
        listingEnd = LogPosition.NONE;
    }

    /**
     * Adds a page to the listing; returns the key after which the next page begins, or empty after the last page. A
     * page without a new key is the last one: the next would be the same again.
     */
    Optional<String> addPage(StoreResponse.Listing page) {
        // Pages aren't a snapshot: records written between pages are after the first page's end.
        listingEnd = hasListed() ? LogPosition.earliest(listingEnd, page.end()) : page.end();
        int known = listedKeys.size();
        page.records().forEach(record -> listedKeys.add(record.key()));
        if (!page.morePages() || listedKeys.size() == known) {
            return Optional.empty();
        }
        KeyedRecord last = page.records().get(page.records().size() - 1);
        return Optional.of(last.key()).filter(key -> !key.isEmpty());
    }

    /**
     * Returns whether the complete listing is as new as what was read before it. A listing that ends before the read
     * position is stale: a key that is missing from it may still exist.
     */
    boolean isListingCurrent() {
        return !listingEnd.isBefore(next);
    }

    /** Continues after the complete listing, or at the first retained record if all of them are read. */
    void applyListing() {
        next = reading == TopicFollower.InitialRead.NEWEST_AND_KEPT
                ? LogPosition.earliest(new LogPosition(listingEnd.era(), firstRetainedOffset), listingEnd)
                : listingEnd;
    }

    /** Continues after the records that a poll has returned. */
    void advanceTo(LogPosition read) {
        next = read;
    }

    /** Returns whether a topic that retains records from an offset on, and none at what was read, ends before that. */
    boolean isBeyondEnd(OptionalLong firstRetained) {
        return firstRetained.isPresent() && firstRetained.getAsLong() < next.offset();
    }

    /** Handles that the store has discarded unread records; {@code first} is the first retained one, if it is known. */
    void onForgotten(OptionalLong first) {
        if (!isKeyed()) {
            // Without keys there is no listing to catch up from: continue at the first retained record.
            long further = first.stream()
                    .filter(retained -> retained != next.offset())
                    .findFirst()
                    .orElse(next.offset() + 1);
            next = new LogPosition(next.era(), further);
        }
        firstRetainedOffset = first.orElse(Long.MAX_VALUE);
    }
}
