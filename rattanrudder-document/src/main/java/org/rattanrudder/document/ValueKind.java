package org.rattanrudder.document;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;

/**
 * What one value may be.
 *
 * @param expected the words for it in an error message
 * @param reader reads the value; empty if the node is anything else
 * @param names the names to choose from, where it is a choice; empty otherwise
 * @param placeholder stands in for a value that couldn't be read, so that the rest can be checked too
 * @param <T> the type of the value
 */
record ValueKind<T>(String expected, Function<Node, Optional<T>> reader, List<String> names, T placeholder) {
    private static final String DIGEST_PREFIX = "sha256:";
    private static final String ANY_ADDRESS = "0.0.0.0";

    static ValueKind<Integer> integer(int lowest, int highest) {
        return new ValueKind<>(
                "a whole number from " + lowest + " to " + highest,
                node -> wholeNumber(node, lowest, highest).map(BigDecimal::intValueExact),
                List.of(),
                lowest);
    }

    static ValueKind<Long> longInteger(long lowest, long highest) {
        return new ValueKind<>(
                "a whole number from " + lowest + " to " + highest,
                node -> wholeNumber(node, lowest, highest).map(BigDecimal::longValueExact),
                List.of(),
                lowest);
    }

    static ValueKind<Double> number(String lowest, String highest) {
        return new ValueKind<>(
                "a number from " + lowest + " to " + highest,
                node -> number(node, new BigDecimal(lowest), new BigDecimal(highest))
                        .map(BigDecimal::doubleValue),
                List.of(),
                Double.valueOf(lowest));
    }

    static ValueKind<Boolean> bool() {
        return new ValueKind<>(
                "true or false",
                node -> node instanceof Node.BooleanNode given ? Optional.of(given.value()) : Optional.empty(),
                List.of(),
                false);
    }

    /** A text that the given constructor takes; it refuses others with an {@link IllegalArgumentException}. */
    static <T> ValueKind<T> text(String expected, Function<String, T> constructor, T placeholder) {
        return new ValueKind<>(
                expected,
                node -> node instanceof Node.TextNode given
                        ? constructed(constructor, given.value())
                        : Optional.empty(),
                List.of(),
                placeholder);
    }

    static <T> ValueKind<T> name(String what, Function<String, T> constructor) {
        return text(
                "the name of a " + what + " (up to 63 lower-case letters, digits, dots, dashes and underscores)",
                constructor,
                constructor.apply("placeholder"));
    }

    static ValueKind<Address> address() {
        return text(
                "an address such as \"127.0.0.1:7401\" (IP number and port)",
                ValueKind::numericAddress,
                new Address(ANY_ADDRESS, 1));
    }

    static ValueKind<Digest> digest() {
        return text(
                "\"sha256:\" and 64 hexadecimal digits (a credential is never written in clear)",
                ValueKind::parseDigest,
                new Digest(0, 0, 0, 0));
    }

    static <T> ValueKind<T> oneOf(Map<String, T> choices) {
        List<String> names = new ArrayList<>(choices.keySet());
        return new ValueKind<>(
                "one of \"" + String.join("\", \"", names) + "\"",
                node -> node instanceof Node.TextNode given
                        ? Optional.ofNullable(choices.get(given.value()))
                        : Optional.empty(),
                names,
                choices.get(names.get(0)));
    }

    /** Returns the message for a node that is none of this kind. */
    String mismatch(Node node) {
        String message = "expected " + expected + ", not " + node.describe();
        return node instanceof Node.TextNode given && !names.isEmpty()
                ? message + NearestName.hint(given.value(), names)
                : message;
    }

    private static Address numericAddress(String text) {
        Address address = Address.parse(text);
        if (!address.host().matches("[0-9.]+|\\[?[0-9a-fA-F:.]+]?")) {
            throw new IllegalArgumentException("host names are not resolved: expected an IP number");
        }
        return address;
    }

    private static Digest parseDigest(String text) {
        if (!text.startsWith(DIGEST_PREFIX)) {
            throw new IllegalArgumentException("expected " + DIGEST_PREFIX);
        }
        return Digest.fromHex(text.substring(DIGEST_PREFIX.length()));
    }

    private static <T> Optional<T> constructed(Function<String, T> constructor, String text) {
        try {
            return Optional.of(constructor.apply(text));
        } catch (IllegalArgumentException otherForm) {
            return Optional.empty();
        }
    }

    private static Optional<BigDecimal> wholeNumber(Node node, long lowest, long highest) {
        return number(node, BigDecimal.valueOf(lowest), BigDecimal.valueOf(highest))
                .filter(value -> value.stripTrailingZeros().scale() <= 0);
    }

    private static Optional<BigDecimal> number(Node node, BigDecimal lowest, BigDecimal highest) {
        return node instanceof Node.NumberNode given
                        && given.value().compareTo(lowest) >= 0
                        && given.value().compareTo(highest) <= 0
                ? Optional.of(given.value())
                : Optional.empty();
    }
}
