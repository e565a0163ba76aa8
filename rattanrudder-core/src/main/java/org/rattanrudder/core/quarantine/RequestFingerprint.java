package org.rattanrudder.core.quarantine;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import org.rattanrudder.core.model.Digest;

/**
 * Identifies a request across retries by its host, path, customer and body; its id and deadline change with each retry.
 *
 * @param first the first half of a digest of them
 * @param second the second half
 */
public record RequestFingerprint(long first, long second) {
    private static final HexFormat HEX = HexFormat.of();
    private static final int DIGITS_PER_HALF = 2 * Long.BYTES;

    /** Of a long body, this many bytes at its start and at its end are hashed, together with its length. */
    static final int SAMPLE_BYTES = 16 * 1024;

    /**
     * Returns the fingerprint of a request.
     *
     * @param host the host that it names
     * @param path its path and query
     * @param customer its customer; empty if unknown
     * @param body its body; its position stays unchanged
     */
    public static RequestFingerprint of(String host, String path, String customer, ByteBuffer body) {
        Digest digest = Digest.of(host, path, customer).chain(Digest.of(sample(body)));
        return new RequestFingerprint(digest.first(), digest.second());
    }

    private static byte[] sample(ByteBuffer body) {
        int length = body.remaining();
        if (length <= 2 * SAMPLE_BYTES) {
            return bytes(body, 0, length);
        }
        return ByteBuffer.allocate(2 * SAMPLE_BYTES + Integer.BYTES)
                .put(bytes(body, 0, SAMPLE_BYTES))
                .put(bytes(body, length - SAMPLE_BYTES, SAMPLE_BYTES))
                .putInt(length)
                .array();
    }

    private static byte[] bytes(ByteBuffer body, int from, int length) {
        byte[] bytes = new byte[length];
        body.get(body.position() + from, bytes);
        return bytes;
    }

    /**
     * Parses a fingerprint of 32 hexadecimal digits.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static RequestFingerprint fromHex(String hex) {
        if (hex.length() != 2 * DIGITS_PER_HALF) {
            throw new IllegalArgumentException(
                    "a fingerprint has " + 2 * DIGITS_PER_HALF + " digits, not " + hex.length());
        }
        return new RequestFingerprint(
                HexFormat.fromHexDigitsToLong(hex, 0, DIGITS_PER_HALF),
                HexFormat.fromHexDigitsToLong(hex, DIGITS_PER_HALF, 2 * DIGITS_PER_HALF));
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
