package org.rattanrudder.daemon.relay.store;

import java.util.Set;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.port.KeyedRecord;

/** Handles the records of a topic that a {@link TopicFollower} reads, and is told of the state of its reading. */
public interface TopicListener {
    /**
     * Handles a record.
     *
     * @throws IllegalArgumentException if the record is malformed
     */
    void onRecord(KeyedRecord record);

    /**
     * Handles a record from a listing, which may be old.
     *
     * @throws IllegalArgumentException if the record is malformed
     */
    default void onListedRecord(KeyedRecord record) {
        onRecord(record);
    }

    /** Returns whether only the last well-formed record of each key matters, and the order of keys doesn't. */
    default boolean needsOnlyNewest() {
        return false;
    }

    /** Handles a record that isn't delivered, since only the newest of its key is needed. */
    default void onSuperseded(KeyedRecord record) {}

    /** Handles the end of a complete listing, with the keys in it and where it ends. */
    default void onListed(Set<String> keys, LogPosition end) {}

    /** Called when all records that the store held at a call have been handled; with the time of that call. */
    default void onReadToEnd(Moment askedAt) {}

    /**
     * Called before {@link #onReadToEnd} if no record that was written before the call can be unread. The store may
     * lack some for a while after it has come back from a copy.
     */
    default void onCurrent(Moment askedAt) {}

    /**
     * Called before the records of an answer are handled.
     *
     * @param askedAt when the answer, or the first page of its listing, was asked for
     * @param unreadMillis for how long the records may have existed
     */
    default void onRecordsRead(Moment askedAt, long unreadMillis) {}

    /** Called when the store ends before what was read: it may hold other records at offsets that were read. */
    default void onStoreBehind() {}

    /**
     * Called when the store has come back from an older copy, before anything is read of it: what was read may be
     * gone, and what was written may have to be written again.
     */
    default void onNewEra() {}

    /** Called after each successful answer of the store. */
    default void onAvailable() {}

    /** Called when the store doesn't answer or refuses a call. */
    default void onUnavailable() {}
}
