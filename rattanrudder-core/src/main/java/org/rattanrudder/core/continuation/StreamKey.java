package org.rattanrudder.core.continuation;

import java.util.HexFormat;
import org.rattanrudder.core.model.Digest;

/**
 * Identifies a stream at all relays: a digest of its customer and of the ID of the request that brought its first
 * event.
 *
 * <p>Callers choose the IDs of their requests, and two customers may choose the same one. With the customer in the
 * digest, none can name a stream of another.
 *
 * @param first the first half of the digest
 * @param second the second half
 */
public record StreamKey(long first, long second) {
    private static final HexFormat HEX = HexFormat.of();

    /**
     * Returns the key of a stream.
     *
     * @param customer its customer; empty if the route requires no credential
     * @param requestId the ID of the request that brought its first event
     */
    public static StreamKey of(String customer, String requestId) {
        Digest digest = Digest.of(customer, requestId);
        return new StreamKey(digest.first(), digest.second());
    }

    /** Returns 32 lower-case hexadecimal digits. */
    @Override
    public String toString() {
        return HEX.toHexDigits(first) + HEX.toHexDigits(second);
    }

    // Explicit: those that records generate are linked at run time, which slows the start of a relay.
    @Override
    public boolean equals(Object other) {
        return other instanceof StreamKey key && first == key.first && second == key.second;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(first) + Long.hashCode(second);
    }
}
