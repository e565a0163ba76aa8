package org.rattanrudder.document;

import java.util.List;

/**
 * What came of reading a text.
 *
 * @param <T> what the text describes
 */
public sealed interface ParseResult<T> {
    /**
     * The text holds.
     *
     * @param value its content
     * @param defaults the values that were filled in, in the order of the documentation
     * @param <T> what the text describes
     */
    record Accepted<T>(T value, List<DefaultValue> defaults) implements ParseResult<T> {
        /** Copies the list. */
        public Accepted {
            defaults = List.copyOf(defaults);
        }
    }

    /**
     * The text doesn't hold.
     *
     * @param problems everything that is wrong, in the order of the text; at least one
     * @param <T> what the text should describe
     */
    record Rejected<T>(List<Problem> problems) implements ParseResult<T> {
        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }

    /** Returns a text's problems, each with its line and column; none if it holds. */
    static List<String> problems(ParseResult<?> result) {
        return result instanceof Rejected<?> rejected
                ? rejected.problems().stream()
                        .map(problem -> problem.in("settings"))
                        .toList()
                : List.of();
    }
}
