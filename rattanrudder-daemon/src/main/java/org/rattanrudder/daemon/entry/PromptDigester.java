package org.rattanrudder.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.model.Digest;

/** Takes a prompt's text part by part and gives its shape: a token for four bytes, a digest for each whole piece. */
final class PromptDigester {
    static final int BYTES_PER_TOKEN = 4;

    private final int pieceBytes;
    private final MessageDigest piece = sha256();
    private final List<Digest> pieces = new ArrayList<>();
    private int bytesInPiece;
    private long bytes;

    PromptDigester(int pieceTokens) {
        pieceBytes = pieceTokens * BYTES_PER_TOKEN;
    }

    void add(String text) {
        byte[] part = text.getBytes(StandardCharsets.UTF_8);
        bytes += part.length;
        int from = 0;
        while (from < part.length) {
            int count = Math.min(part.length - from, pieceBytes - bytesInPiece);
            piece.update(part, from, count);
            from += count;
            bytesInPiece += count;
            if (bytesInPiece == pieceBytes) {
                pieces.add(Digest.fromBytes(piece.digest()));
                bytesInPiece = 0;
            }
        }
    }

    PromptShape shape() {
        int tokens = (int) ((bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
        return new PromptShape(tokens, pieces);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
