package org.rattanrudder.document;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;

/** Finds the known name that a mistyped one was most likely meant to be. */
final class NearestName {
    private NearestName() {}

    /** Returns a hint to end a message with: the nearest name, or all names if none is near. */
    static String hint(String written, Collection<String> known) {
        String best = known.stream()
                .min(Comparator.comparingInt((String name) -> distance(written, name))
                        .thenComparing(Comparator.naturalOrder()))
                .orElse("");
        int tolerated = Math.max(1, Math.max(written.length(), best.length()) / 3);
        if (!best.isEmpty() && distance(written, best) <= tolerated) {
            return "; did you mean \"" + best + "\"?";
        }
        return known.isEmpty() ? "" : "; known: " + String.join(", ", known);
    }

    /** Returns how many letters have to be put in, left out or changed, upper and lower case being the same. */
    static int distance(String left, String right) {
        String first = left.toLowerCase(Locale.ROOT);
        String second = right.toLowerCase(Locale.ROOT);
        int[] previous = new int[second.length() + 1];
        for (int column = 0; column <= second.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= first.length(); row++) {
            int[] current = new int[second.length() + 1];
            current[0] = row;
            for (int column = 1; column <= second.length(); column++) {
                int change = first.charAt(row - 1) == second.charAt(column - 1) ? 0 : 1;
                int shortest = Math.min(previous[column] + 1, current[column - 1] + 1);
                current[column] = Math.min(shortest, previous[column - 1] + change);
            }
            previous = current;
        }
        return previous[second.length()];
    }
}
