package org.rattanrudder.core.quarantine;

import java.util.HexFormat;
import org.rattanrudder.core.model.Digest;

/**
 * What stays the same when a request comes again: host, path, customer and body. Its id doesn't, nor does its deadline.
 *
 * @param first the first half of a digest of them
 * @param second the second half
 */
public record RequestFingerprint(long first, long second) {
    private static final HexFormat HEX = HexFormat.of();
    private static final int DIGITS = 2 * Long.BYTES;

    /**
     * Returns the fingerprint of a request.
     *
     * @param host the host that it names
     * @param path its path with its query
     * @param customer the customer that it belongs to; empty if none is known
     * @param body its body in full
     */
    public static RequestFingerprint of(String host, String path, String customer, byte[] body) {
        Digest digest = Digest.of(host, path, customer).chain(Digest.of(body));
        return new RequestFingerprint(digest.first(), digest.second());
    }

    /**
     * Reads a fingerprint from 32 hexadecimal digits.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static RequestFingerprint fromHex(String hex) {
        if (hex.length() != 2 * DIGITS) {
            throw new IllegalArgumentException("a fingerprint has " + 2 * DIGITS + " digits, not " + hex.length());
        }
        return new RequestFingerprint(
                HexFormat.fromHexDigitsToLong(hex, 0, DIGITS), HexFormat.fromHexDigitsToLong(hex, DIGITS, 2 * DIGITS));
    }

    /** Returns 32 lower-case hexadecimal digits. */
    public String toHex() {
        return HEX.toHexDigits(first) + HEX.toHexDigits(second);
    }

    @Override
    public String toString() {
        return toHex();
    }
}
