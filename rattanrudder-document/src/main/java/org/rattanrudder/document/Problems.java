package org.rattanrudder.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Gathers the problems of one text, so that all of them are reported and not only the first. */
final class Problems {
    private final List<Problem> found = new ArrayList<>();

    void add(Location at, String message) {
        found.add(new Problem(at.line(), at.column(), message));
    }

    int count() {
        return found.size();
    }

    boolean isEmpty() {
        return found.isEmpty();
    }

    /** Returns the problems in the order of the text. */
    List<Problem> sorted() {
        return found.stream()
                .sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
                .toList();
    }
}
