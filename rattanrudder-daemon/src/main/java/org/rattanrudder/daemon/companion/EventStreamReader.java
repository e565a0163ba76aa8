package org.rattanrudder.daemon.companion;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.call.Usage;

/** Cuts an engine's stream of server-sent events into events, however its bytes are cut on the way. */
final class EventStreamReader {
    private static final int LARGEST_EVENT_BYTES = 1 << 20;
    private static final String DONE = "[DONE]";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean afterLineEnd;

    /**
     * Adds bytes and returns the events that are whole now.
     *
     * @throws IOException if an event can't be read or is too large
     */
    List<EngineEvent> add(byte[] bytes) throws IOException {
        List<EngineEvent> events = new ArrayList<>();
        for (byte each : bytes) {
            if (each == '\r') {
                continue;
            }
            if (each == '\n' && afterLineEnd) {
                endEvent(events);
                continue;
            }
            afterLineEnd = each == '\n';
            pending.write(each);
            if (pending.size() > LARGEST_EVENT_BYTES) {
                throw new IOException("an event of the engine is over " + LARGEST_EVENT_BYTES + " bytes");
            }
        }
        return events;
    }

    private void endEvent(List<EngineEvent> events) throws IOException {
        String text = pending.toString(StandardCharsets.UTF_8);
        pending.reset();
        afterLineEnd = false;
        long number = -1;
        StringBuilder data = new StringBuilder();
        for (String line : text.split("\n")) {
            if (line.startsWith("id:")) {
                number = numberOf(line.substring("id:".length()).strip());
            } else if (line.startsWith("data:")) {
                data.append(line.substring("data:".length()).strip());
            }
        }
        if (!data.isEmpty()) {
            events.add(event(number, data.toString()));
        }
    }

    private static EngineEvent event(long number, String data) throws IOException {
        if (data.equals(DONE)) {
            return new EngineEvent(number, new byte[0], "", Optional.empty(), true);
        }
        JsonNode json = MAPPER.readTree(data);
        byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        return new EngineEvent(number, bytes, json.path("system_fingerprint").asText(""), usage(json), false);
    }

    private static Optional<Usage> usage(JsonNode json) {
        JsonNode usage = json.path("usage");
        if (!usage.isObject()) {
            return Optional.empty();
        }
        return Optional.of(new Usage(
                usage.path("prompt_tokens").asInt(),
                usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
                0,
                0,
                usage.path("completion_tokens").asInt(),
                0));
    }

    private static long numberOf(String text) throws IOException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException malformed) {
            throw new IOException("an event's id is no number", malformed);
        }
    }
}
