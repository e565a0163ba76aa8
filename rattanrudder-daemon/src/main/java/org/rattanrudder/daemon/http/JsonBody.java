package org.rattanrudder.daemon.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * Reads JSON bodies of responses. A body that only its connection ended may have been cut at any byte, also before the
 * first, so what isn't there is an error and never a zero or an empty list.
 */
public final class JsonBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonBody() {}

    /**
     * Reads a body.
     *
     * @throws IOException if it is no JSON object
     */
    public static JsonNode read(byte[] body) throws IOException {
        JsonNode node = MAPPER.readTree(body);
        if (!node.isObject()) {
            throw new IOException("no JSON object");
        }
        return node;
    }

    /**
     * Returns a member that is a list.
     *
     * @throws IOException if it isn't there
     */
    public static JsonNode list(JsonNode object, String name) throws IOException {
        JsonNode member = object.path(name);
        if (!member.isArray()) {
            throw new IOException("no list \"" + name + "\"");
        }
        return member;
    }

    /**
     * Returns a member that is a whole number.
     *
     * @throws IOException if it isn't there
     */
    public static long whole(JsonNode object, String name) throws IOException {
        JsonNode member = object.path(name);
        if (!member.canConvertToLong()) {
            throw new IOException("no number \"" + name + "\"");
        }
        return member.asLong();
    }
}
