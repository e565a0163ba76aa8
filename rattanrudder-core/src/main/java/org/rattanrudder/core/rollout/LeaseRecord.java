package org.rattanrudder.core.rollout;

import java.util.List;

/**
 * A log record that acquires or renews the lease; its log offset is the fencing token.
 *
 * @param holder the process that wrote it; a restarted process has another name
 * @param termMillis for how long the holder may send orders from when it sent this record, in ms
 * @param loading ids of the engines that are loading weights by order of the holder
 */
public record LeaseRecord(String holder, long termMillis, List<String> loading) {
    public LeaseRecord {
        loading = List.copyOf(loading);
    }
}
