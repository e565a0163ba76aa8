package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.rattanrudder.core.model.Digest;

/**
 * A prompt as an engine reads it.
 *
 * @param requestId names the request; drawn by the engine if the caller gave none
 * @param text the digest of the prompt's whole text
 * @param tokens the prompt's length
 * @param pieceTokens tokens in one block
 * @param blocks the names of its whole blocks
 * @param answerTokens how many tokens to answer with
 * @param priority 0 goes first
 * @param streamed whether the answer is to be streamed
 */
record EnginePrompt(
        String requestId,
        Digest text,
        int tokens,
        int pieceTokens,
        List<Digest> blocks,
        int answerTokens,
        int priority,
        boolean streamed) {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_ANSWER_TOKENS = 16;
    private static final String NO_SALT = "0".repeat(2 * Digest.BYTES);

    static EnginePrompt of(JsonNode body, String drawnId, int defaultPieceTokens) {
        byte[] text = text(body).getBytes(StandardCharsets.UTF_8);
        int pieceTokens = body.path("piece_tokens").asInt(defaultPieceTokens);
        Digest salt = Digest.fromHex(body.path("cache_salt").asText(NO_SALT));
        return new EnginePrompt(
                body.path("request_id").asText(drawnId),
                Digest.of(text),
                Math.max(1, (text.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN),
                pieceTokens,
                blocks(text, salt, pieceTokens * BYTES_PER_TOKEN),
                body.path("max_tokens").asInt(DEFAULT_ANSWER_TOKENS),
                body.path("priority").asInt(0),
                body.path("stream").asBoolean(false));
    }

    private static String text(JsonNode body) {
        if (!body.path("messages").isArray()) {
            throw new IllegalArgumentException("no messages");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            text.append(message.path("role").asText()).append('\n');
            text.append(message.path("content").asText()).append('\n');
        }
        return text.toString();
    }

    private static List<Digest> blocks(byte[] text, Digest salt, int pieceBytes) {
        List<Digest> names = new ArrayList<>();
        Digest parent = salt;
        for (int from = 0; from + pieceBytes <= text.length; from += pieceBytes) {
            parent = parent.chain(Digest.of(Arrays.copyOfRange(text, from, from + pieceBytes)));
            names.add(parent);
        }
        return names;
    }

    /** Returns the answer's token of this number: it names the prompt and the number, so that crossed answers show. */
    String answerToken(int number) {
        return text.toHex().substring(0, 8) + ":" + number + " ";
    }
}
