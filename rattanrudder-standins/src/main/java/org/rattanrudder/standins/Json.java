package org.rattanrudder.standins;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** The JSON reader and writer that the stand-ins share. Comments are allowed. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper().enable(JsonParser.Feature.ALLOW_COMMENTS);

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static byte[] bytes(Object value) {
        return text(value).getBytes(StandardCharsets.UTF_8);
    }

    static String text(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException unwritable) {
            throw new IllegalStateException(unwritable);
        }
    }
}
