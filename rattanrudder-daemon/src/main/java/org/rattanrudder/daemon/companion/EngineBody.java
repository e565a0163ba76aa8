package org.rattanrudder.daemon.companion;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Set;
import org.rattanrudder.core.companion.CompanionEffect;

/** Makes an engine's request of a caller's body. */
final class EngineBody {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int ROOM_BYTES = 512;

    /** What only the system says; a caller that sets them could reach another customer's cache or go first. */
    private static final Set<String> RESERVED =
            Set.of("cache_salt", "priority", "request_id", "piece_tokens", "stream", "stream_options");

    private EngineBody() {}

    /**
     * Returns the body with salt, priority, request id and piece size of the system in place of any of the caller's.
     *
     * @throws IOException if the caller's body is no JSON object
     */
    static byte[] of(CompanionEffect.StartPrompt start) throws IOException {
        byte[] body = start.call().body();
        ByteArrayOutputStream rewritten = new ByteArrayOutputStream(body.length + ROOM_BYTES);
        try (JsonParser parser = JSON.createParser(body);
                JsonGenerator generator = JSON.createGenerator(rewritten)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("the body is no JSON object");
            }
            generator.writeStartObject();
            generator.writeStringField("request_id", start.attempt().toString());
            generator.writeStringField("cache_salt", start.cacheSalt().toHex());
            generator.writeNumberField("priority", start.priority());
            generator.writeNumberField("piece_tokens", start.pieceTokens());
            generator.writeBooleanField("stream", true);
            generator.writeObjectFieldStart("stream_options");
            generator.writeBooleanField("include_usage", true);
            generator.writeEndObject();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String field = parser.currentName();
                parser.nextToken();
                if (RESERVED.contains(field)) {
                    parser.skipChildren();
                } else {
                    generator.writeFieldName(field);
                    generator.copyCurrentStructure(parser);
                }
            }
            generator.writeEndObject();
        }
        return rewritten.toByteArray();
    }
}
