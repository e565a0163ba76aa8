package org.rattanrudder.core.rollout;

import java.util.List;

/**
 * A record by which a holder takes or renews the lease; its offset in the log is the fencing token.
 *
 * @param holder the process that wrote it, another one after each start
 * @param loading incarnations of engines that are loading weights by its orders
 */
public record LeaseRecord(String holder, List<String> loading) {
    /** Takes a copy of the incarnations. */
    public LeaseRecord {
        loading = List.copyOf(loading);
    }
}
