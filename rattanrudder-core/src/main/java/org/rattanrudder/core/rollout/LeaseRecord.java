package org.rattanrudder.core.rollout;

import java.util.List;
import java.util.OptionalLong;

/**
 * A log record that acquires or renews the lease; its log position is the fencing token.
 *
 * @param holder the process that wrote it; a restarted process has another name
 * @param namedTermMillis for how long the holder may send orders from when it sent this record, in ms; empty if it was
 *     written by an earlier release, which knows the usual term alone
 * @param loading ids of the engines that the holder may order to load weights in that time
 * @param era the era of the log for which it was written; a copy of the log holds it in later eras too
 */
public record LeaseRecord(String holder, OptionalLong namedTermMillis, List<String> loading, long era) {
    public LeaseRecord {
        loading = List.copyOf(loading);
    }

    /** Creates a record that names its term, in ms. */
    public LeaseRecord(String holder, long termMillis, List<String> loading, long era) {
        this(holder, OptionalLong.of(termMillis), loading, era);
    }

    /** Returns the term that the record names, or the usual one, in ms. */
    public long termMillis() {
        return namedTermMillis.orElse(OrderLease.LEASE_MILLIS);
    }
}
