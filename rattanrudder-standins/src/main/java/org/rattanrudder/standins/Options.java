package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;

/** The options of one stand-in, as read from a plan; each has a default, and unknown ones are refused. */
public final class Options {
    private final JsonNode node;
    private final Set<String> unread = new TreeSet<>();

    Options(JsonNode node) {
        this.node = node;
        node.fieldNames().forEachRemaining(unread::add);
    }

    /**
     * Reads options from JSON text, such as {@code {"block_capacity": 8}}.
     *
     * @throws IllegalArgumentException if it isn't one JSON object
     */
    public static Options parse(String text) {
        try {
            JsonNode node = Json.MAPPER.readTree(text);
            if (node instanceof ObjectNode) {
                return new Options(node);
            }
        } catch (IOException malformed) {
            throw new IllegalArgumentException("no JSON object: " + malformed.getMessage(), malformed);
        }
        throw new IllegalArgumentException("no JSON object: " + text);
    }

    /** Returns options that are all at their defaults. */
    public static Options none() {
        return parse("{}");
    }

    long number(String name, long absent) {
        unread.remove(name);
        return node.path(name).asLong(absent);
    }

    boolean flag(String name, boolean absent) {
        unread.remove(name);
        return node.path(name).asBoolean(absent);
    }

    String text(String name, String absent) {
        unread.remove(name);
        return node.path(name).asText(absent);
    }

    JsonNode raw(String name) {
        unread.remove(name);
        return node.path(name);
    }

    /** Refuses options that no one asked for. */
    void refuseUnread() {
        if (!unread.isEmpty()) {
            throw new IllegalArgumentException("unknown options: " + String.join(", ", unread));
        }
    }
}
