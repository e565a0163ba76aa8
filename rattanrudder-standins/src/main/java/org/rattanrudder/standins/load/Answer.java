package org.rattanrudder.standins.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What a caller got.
 *
 * @param status the HTTP status; 0 if none came
 * @param headers the headers
 * @param body the body as far as it came
 * @param broken whether the connection broke before the end
 * @param firstByteNanos from sending to the body's first byte, or to the end if there was none
 * @param endNanos from sending to the end
 */
public record Answer(
        int status,
        Map<String, List<String>> headers,
        String body,
        boolean broken,
        long firstByteNanos,
        long endNanos) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";

    /** Returns the body as JSON, or a missing node if it is none. */
    public JsonNode json() {
        return parse(body);
    }

    /** Returns the data of all server-sent events in order, but for the closing {@code [DONE]}. */
    public List<JsonNode> events() {
        List<JsonNode> events = new ArrayList<>();
        body.lines()
                .filter(line -> line.startsWith(DATA) && !line.equals(DATA + "[DONE]"))
                .forEach(line -> events.add(parse(line.substring(DATA.length()))));
        return events;
    }

    /** Returns whether a streamed answer came to its proper end. */
    public boolean isDone() {
        return !broken && body.lines().anyMatch(line -> line.equals(DATA + "[DONE]"));
    }

    /** Returns the text of a chat answer, streamed or whole. */
    public String content() {
        if (!body.startsWith("{")) {
            StringBuilder content = new StringBuilder();
            events().forEach(event -> content.append(
                    event.path("choices").path(0).path("delta").path("content").asText("")));
            return content.toString();
        }
        return json().path("choices").path(0).path("message").path("content").asText();
    }

    /** Returns the usage that a chat answer reports. */
    public JsonNode usage() {
        if (body.startsWith("{")) {
            return json().path("usage");
        }
        return events().stream()
                .map(event -> event.path("usage"))
                .filter(JsonNode::isObject)
                .findFirst()
                .orElse(MissingNode.getInstance());
    }

    /** Returns the prompt's tokens that the engine took from its cache. */
    public int cachedTokens() {
        return usage().path("prompt_tokens_details").path("cached_tokens").asInt();
    }

    /** Returns the error that it ends with. */
    public Optional<JsonNode> error() {
        JsonNode whole = json().path("error");
        if (whole.isObject()) {
            return Optional.of(whole);
        }
        return events().stream()
                .map(event -> event.path("error"))
                .filter(JsonNode::isObject)
                .findFirst();
    }

    /** Returns the kind of the error, or an empty text. */
    public String errorKind() {
        return error().map(error -> error.path("kind").asText()).orElse("");
    }

    /** Returns the run state of the error, or an empty text. */
    public String runState() {
        return error().map(error -> error.path("run_state").asText()).orElse("");
    }

    /** Returns a header's first value, or an empty text. */
    public String header(String name) {
        return headers.entrySet().stream()
                .filter(entry -> entry.getKey().equalsIgnoreCase(name))
                .map(entry -> entry.getValue().get(0))
                .findFirst()
                .orElse("");
    }

    private static JsonNode parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node == null ? MissingNode.getInstance() : node;
        } catch (JsonProcessingException noJson) {
            return MissingNode.getInstance();
        }
    }
}
