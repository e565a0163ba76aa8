package org.rattanrudder.daemon.relay.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.topics.LogPosition;

/** A response of the platform's store. */
public sealed interface StoreResponse {
    /**
     * A page of the newest records of all keys.
     *
     * @param records the page
     * @param morePages whether more pages follow
     * @param end the position after the last record of the topic
     */
    record Listing(List<KeyedRecord> records, boolean morePages, LogPosition end) implements StoreResponse {}

    /**
     * Records read from a topic.
     *
     * @param records in order
     * @param next the position to read from next
     * @param end the position after the last record of the topic
     */
    record Records(List<KeyedRecord> records, LogPosition next, LogPosition end) implements StoreResponse {}

    /**
     * The requested records are no longer retained.
     *
     * @param first the offset of the first retained record; empty if the store doesn't report it
     */
    record Forgotten(OptionalLong first) implements StoreResponse {}

    /**
     * A record was appended.
     *
     * @param position its position
     */
    record Appended(LogPosition position) implements StoreResponse {}

    /** The topic didn't end at the expected offset; nothing was appended. */
    record Conflict() implements StoreResponse {}

    /**
     * The call failed.
     *
     * @param status the HTTP status
     * @param reason why the response couldn't be used, if the status doesn't show it
     */
    record Failed(int status, Optional<String> reason) implements StoreResponse {}
}
