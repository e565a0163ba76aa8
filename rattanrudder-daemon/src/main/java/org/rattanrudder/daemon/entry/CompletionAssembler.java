package org.rattanrudder.daemon.entry;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;

/** Puts the events of a streamed completion together into the one JSON answer of a caller that asked for it whole. */
final class CompletionAssembler {
    /** Deeper than any completion; what is merged and written takes a frame of the stack for each level. */
    private static final int MAX_DEPTH = 100;

    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build());
    private static final String DATA = "data:";
    private static final Set<String> APPENDED = Set.of("content", "refusal", "reasoning_content", "arguments");

    private final int limitBytes;
    private final ObjectNode answer = MAPPER.createObjectNode();
    private final ArrayNode choices = MAPPER.createArrayNode();
    private long bytes;

    CompletionAssembler(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Adds one event.
     *
     * @throws IOException if it can't be read or the answer grows over the limit
     */
    void add(byte[] event) throws IOException {
        bytes += event.length;
        if (bytes > limitBytes) {
            throw new IOException("the whole answer is over " + limitBytes + " bytes of events");
        }
        StringBuilder data = new StringBuilder();
        for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(DATA)) {
                data.append(line.substring(DATA.length()));
            }
        }
        JsonNode chunk = MAPPER.readTree(data.toString());
        if (chunk instanceof ObjectNode object) {
            addChunk(object);
        }
    }

    /** Returns the whole answer. */
    byte[] whole() throws IOException {
        answer.put("object", "chat.completion");
        answer.set("choices", choices);
        return MAPPER.writeValueAsBytes(answer);
    }

    private void addChunk(ObjectNode chunk) {
        for (Map.Entry<String, JsonNode> field : chunk.properties()) {
            if (!field.getKey().equals("choices") && !field.getValue().isNull()) {
                answer.set(field.getKey(), field.getValue());
            }
        }
        for (JsonNode choice : chunk.path("choices")) {
            addChoice(choice);
        }
    }

    private void addChoice(JsonNode choice) {
        ObjectNode known = byIndex(choices, choice.path("index").asInt());
        merge(known.withObject("/message"), choice.path("delta"));
        if (choice.hasNonNull("finish_reason") || !known.has("finish_reason")) {
            known.set("finish_reason", choice.path("finish_reason"));
        }
    }

    private static void merge(ObjectNode into, JsonNode delta) {
        for (Map.Entry<String, JsonNode> field : delta.properties()) {
            mergeField(into, field.getKey(), field.getValue());
        }
    }

    private static void mergeField(ObjectNode into, String name, JsonNode value) {
        JsonNode known = into.get(name);
        if (known != null && known.isTextual() && value.isTextual() && APPENDED.contains(name)) {
            into.put(name, known.textValue() + value.textValue());
        } else if (known instanceof ObjectNode object && value.isObject()) {
            merge(object, value);
        } else if (value.isArray() && value.path(0).has("index")) {
            ArrayNode list = known instanceof ArrayNode array ? array : into.putArray(name);
            value.forEach(element -> merge(byIndex(list, element.path("index").asInt()), element));
        } else if (!value.isNull()) {
            into.set(name, value);
        }
    }

    private static ObjectNode byIndex(ArrayNode list, int index) {
        for (JsonNode element : list) {
            if (element.path("index").asInt() == index) {
                return (ObjectNode) element;
            }
        }
        return list.addObject().put("index", index);
    }
}
