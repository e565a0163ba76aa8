package org.rattanrudder.core.quarantine;

import java.nio.ByteBuffer;
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

    /** Of a longer body, so many bytes of its beginning and of its end are read, and its length. */
    static final int PIECE_BYTES = 16 * 1024;

    /**
     * Returns the fingerprint of a request.
     *
     * @param host the host that it names
     * @param path its path with its query
     * @param customer the customer that it belongs to; empty if none is known
     * @param body its body; left as it is
     */
    public static RequestFingerprint of(String host, String path, String customer, ByteBuffer body) {
        Digest digest = Digest.of(host, path, customer).chain(Digest.of(sample(body)));
        return new RequestFingerprint(digest.first(), digest.second());
    }

    private static byte[] sample(ByteBuffer body) {
        int length = body.remaining();
        if (length <= 2 * PIECE_BYTES) {
            return bytes(body, 0, length);
        }
        return ByteBuffer.allocate(2 * PIECE_BYTES + Integer.BYTES)
                .put(bytes(body, 0, PIECE_BYTES))
                .put(bytes(body, length - PIECE_BYTES, PIECE_BYTES))
                .putInt(length)
                .array();
    }

    private static byte[] bytes(ByteBuffer body, int from, int length) {
        byte[] bytes = new byte[length];
        body.get(body.position() + from, bytes);
        return bytes;
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
