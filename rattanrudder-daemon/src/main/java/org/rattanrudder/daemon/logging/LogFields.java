package org.rattanrudder.daemon.logging;

import java.util.List;

/** Formats key=value pairs, quoted so that a line can be parsed whatever its values contain. */
final class LogFields {
    private static final int MAX_VALUE_CHARS = 2_000;

    private LogFields() {}

    /** Returns {@code event=name key=value ...}; the fields are alternating keys and values. */
    static String line(String event, List<String> fields) {
        StringBuilder line = new StringBuilder("event=").append(quote(event));
        for (int index = 0; index + 1 < fields.size(); index += 2) {
            line.append(' ').append(fields.get(index)).append('=').append(quote(fields.get(index + 1)));
        }
        return line.toString();
    }

    /** Returns the value unchanged if it needs no quotes, else quoted, with line ends and quotes escaped. */
    static String quote(String value) {
        String truncated = value.length() <= MAX_VALUE_CHARS ? value : value.substring(0, MAX_VALUE_CHARS) + "...";
        if (!truncated.isEmpty() && truncated.chars().allMatch(LogFields::isPlain)) {
            return truncated;
        }
        StringBuilder quoted = new StringBuilder("\"");
        for (char each : truncated.toCharArray()) {
            append(quoted, each);
        }
        return quoted.append('"').toString();
    }

    private static boolean isPlain(int character) {
        return character > ' ' && character < 127 && character != '"' && character != '=' && character != '\\';
    }

    private static void append(StringBuilder quoted, char each) {
        switch (each) {
            case '"', '\\' -> quoted.append('\\').append(each);
            case '\n' -> quoted.append("\\n");
            case '\r' -> quoted.append("\\r");
            case '\t' -> quoted.append("\\t");
            default -> quoted.append(Character.isISOControl(each) ? ' ' : each);
        }
    }
}
