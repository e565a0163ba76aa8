package org.rattanrudder.daemon.relay.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** An answer of the platform's store. */
public sealed interface StoreResponse {
    /**
     * A page of the newest records of all keys.
     *
     * @param records the page
     * @param morePages whether others follow
     * @param end the offset after the topic's last record
     */
    record Listing(List<KeyedRecord> records, boolean morePages, long end) implements StoreResponse {}

    /**
     * Records that were read.
     *
     * @param records in order
     * @param next the offset to read from next
     */
    record Records(List<KeyedRecord> records, long next) implements StoreResponse {}

    /**
     * The records that were asked for are kept no more.
     *
     * @param first the offset of the first record that is kept; empty if the store doesn't say
     */
    record Forgotten(OptionalLong first) implements StoreResponse {}

    /**
     * A record was appended.
     *
     * @param offset its place
     */
    record Appended(long offset) implements StoreResponse {}

    /** The topic didn't end where it had to; nothing was appended. */
    record Conflict() implements StoreResponse {}

    /**
     * The call failed.
     *
     * @param status the HTTP status
     * @param reason why the answer couldn't be used, if the status doesn't tell
     */
    record Failed(int status, Optional<String> reason) implements StoreResponse {}
}
