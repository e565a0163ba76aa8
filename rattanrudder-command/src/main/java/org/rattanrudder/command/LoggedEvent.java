package org.rattanrudder.command;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event from a process's log.
 *
 * @param source what stood before the line, as a collector of logs may write it; empty if nothing
 * @param fields its fields by name, in the order of the line
 */
record LoggedEvent(String source, Map<String, String> fields) {
    private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S+)");

    /** Reads a line; empty if it is none of an event. */
    static Optional<LoggedEvent> read(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher pairs = PAIR.matcher(line);
        int begin = line.length();
        while (pairs.find()) {
            begin = Math.min(begin, pairs.start());
            fields.put(pairs.group(1), unquoted(pairs.group(2)));
        }
        return fields.containsKey("event")
                ? Optional.of(new LoggedEvent(line.substring(0, begin).strip(), fields))
                : Optional.empty();
    }

    private static String unquoted(String value) {
        return value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
    }

    /** Returns what happened. */
    String event() {
        return fields.get("event");
    }

    /** Returns a field's text; empty if the event has none of the name. */
    String text(String field) {
        return fields.getOrDefault(field, "");
    }

    /** Returns when it was logged, in ms of Unix time; empty if the line doesn't say. */
    Optional<Long> timeMillis() {
        try {
            return Optional.of(Instant.parse(text("time")).toEpochMilli());
        } catch (DateTimeParseException unsaid) {
            return Optional.empty();
        }
    }

    /** Returns a field's whole number; empty if it has none. */
    OptionalLong number(String field) {
        try {
            return OptionalLong.of(Long.parseLong(text(field)));
        } catch (NumberFormatException notOne) {
            return OptionalLong.empty();
        }
    }
}
