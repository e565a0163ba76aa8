package org.rattanrudder.document;

import java.util.Locale;

/** Writes a value as it stands in a document. */
final class Wording {
    private Wording() {}

    static String of(Object value) {
        if (value instanceof Enum<?> choice) {
            return "\"" + word(choice) + "\"";
        }
        return value instanceof Number || value instanceof Boolean ? value.toString() : "\"" + value + "\"";
    }

    /** Returns a constant's name in the form of documents, such as {@code first-token}. */
    static String word(Enum<?> choice) {
        return choice.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
