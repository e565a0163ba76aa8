package org.rattanrudder.core.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A SHA-256 digest, stored as four longs to save memory in maps with hundreds of thousands of digests.
 *
 * <pre>{@code
 * Digest root = Digest.of("customer", "service", "version");
 * Digest first = root.chain(Digest.of(pieceBytes));
 * }</pre>
 *
 * @param first bytes 0 to 7, big-endian
 * @param second bytes 8 to 15
 * @param third bytes 16 to 23
 * @param fourth bytes 24 to 31
 */
public record Digest(long first, long second, long third, long fourth) implements Comparable<Digest> {
    /** The length of a digest in bytes. */
    public static final int BYTES = 32;

    /** Returns the SHA-256 digest of the given bytes. */
    public static Digest of(byte[] bytes) {
        return fromBytes(sha256().digest(bytes));
    }

    /**
     * Returns the digest of a list of strings. Each is prefixed with its length, so that different lists give different
     * digests.
     */
    public static Digest of(String... parts) {
        MessageDigest digest = sha256();
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            digest.update(
                    ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
            digest.update(bytes);
        }
        return fromBytes(digest.digest());
    }

    /**
     * Creates a digest from its 32 bytes.
     *
     * @throws IllegalArgumentException if there are fewer or more bytes
     */
    public static Digest fromBytes(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException("a digest has " + BYTES + " bytes, not " + bytes.length);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new Digest(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong());
    }

    /**
     * Parses a digest of 64 hexadecimal digits.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Digest fromHex(String hex) {
        return fromBytes(HexFormat.of().parseHex(hex));
    }

    /** Returns the digest of this digest followed by another; it identifies a block below this parent. */
    public Digest chain(Digest next) {
        MessageDigest digest = sha256();
        digest.update(toBytes());
        digest.update(next.toBytes());
        return fromBytes(digest.digest());
    }

    /** Returns the 32 bytes of this digest. */
    public byte[] toBytes() {
        return ByteBuffer.allocate(BYTES)
                .putLong(first)
                .putLong(second)
                .putLong(third)
                .putLong(fourth)
                .array();
    }

    /** Returns 64 lower-case hexadecimal digits. */
    public String toHex() {
        return HexFormat.of().formatHex(toBytes());
    }

    @Override
    public int compareTo(Digest other) {
        int order = Long.compareUnsigned(first, other.first);
        if (order == 0) {
            order = Long.compareUnsigned(second, other.second);
        }
        if (order == 0) {
            order = Long.compareUnsigned(third, other.third);
        }
        return order == 0 ? Long.compareUnsigned(fourth, other.fourth) : order;
    }

    @Override
    public String toString() {
        return toHex();
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
