package org.rattanrudder.core.rollout;

import org.rattanrudder.core.topics.LogPosition;

/**
 * Fencing tokens of leases: whole numbers that rise with the positions of the leases' records.
 *
 * <p>Engines compare them as numbers of JSON, of which those below 2^53 are exact.
 */
public final class LeaseTokens {
    private static final int OFFSET_BITS = 32;
    private static final int ERA_BITS = 21;

    /** The newest era of a log of which tokens are exact. */
    public static final long MAX_ERA = (1L << ERA_BITS) - 1;

    private LeaseTokens() {}

    /** Returns the token of a lease by the position of its record. */
    public static long of(LogPosition record) {
        return (record.era() << OFFSET_BITS) + record.offset();
    }
}
