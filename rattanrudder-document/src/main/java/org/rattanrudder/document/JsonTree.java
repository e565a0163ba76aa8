package org.rattanrudder.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads JSON with comments into nodes that know where they stand. */
final class JsonTree {
    /** Trees are read recursively, on threads with a stack of 256 KB; what is read here has a depth of 6 at most. */
    private static final int MAX_DEPTH = 64;

    private static final int MAX_NAME_CHARS = 1_024;

    /** Beyond any number that has a use, and below what takes long to compute with. */
    private static final int MAX_EXPONENT = 1_000;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxNameLength(MAX_NAME_CHARS)
                    .build())
            .build();

    private final JsonParser parser;
    private final Problems problems;

    private JsonTree(JsonParser parser, Problems problems) {
        this.parser = parser;
        this.problems = problems;
    }

    /** Returns the root object; empty, with a problem noted, if the text isn't JSON or holds no object. */
    static Optional<Node.ObjectNode> read(String text, Problems problems) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            return new JsonTree(parser, problems).rootOrProblem();
        } catch (IOException impossible) {
            throw new UncheckedIOException("reading a string", impossible);
        }
    }

    private Optional<Node.ObjectNode> rootOrProblem() throws IOException {
        try {
            return root();
        } catch (JsonProcessingException notJson) {
            // What exceeds a limit of the parser is reported without a place.
            JsonLocation location = notJson.getLocation();
            problems.add(
                    place(location == null ? parser.currentLocation() : location),
                    oneLine(notJson.getOriginalMessage()));
            return Optional.empty();
        }
    }

    private Optional<Node.ObjectNode> root() throws IOException {
        if (parser.nextToken() == null) {
            problems.add(new Location(1, 1, 0), "expected an object, not an empty text");
            return Optional.empty();
        }
        Node root = value();
        if (parser.nextToken() != null) {
            problems.add(here(), "expected the end of the text after the first value");
        }
        if (root instanceof Node.ObjectNode object) {
            return Optional.of(object);
        }
        problems.add(root.at(), "expected an object, not " + root.describe());
        return Optional.empty();
    }

    private Node value() throws IOException {
        Location at = here();
        switch (parser.currentToken()) {
            case START_OBJECT:
                return object(at);
            case START_ARRAY:
                return array(at);
            case VALUE_STRING:
                return new Node.TextNode(at, parser.getText());
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return new Node.NumberNode(at, number());
            case VALUE_TRUE:
            case VALUE_FALSE:
                return new Node.BooleanNode(at, parser.getBooleanValue());
            default:
                return new Node.NullNode(at);
        }
    }

    private BigDecimal number() throws IOException {
        try {
            BigDecimal number = new BigDecimal(parser.getText());
            if (Math.abs((long) number.scale()) <= MAX_EXPONENT) {
                return number;
            }
        } catch (NumberFormatException exponentTooLong) {
            throw outOfRange(exponentTooLong);
        }
        throw outOfRange(null);
    }

    private JsonParseException outOfRange(Throwable cause) {
        return new JsonParseException(parser, "a number out of range", parser.currentTokenLocation(), cause);
    }

    private Node object(Location at) throws IOException {
        Map<String, Node.Member> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            Location keyAt = here();
            parser.nextToken();
            Node.Member earlier = members.put(key, new Node.Member(keyAt, value()));
            if (earlier != null) {
                problems.add(
                        keyAt,
                        "key \"" + key + "\" stands twice; the first is in line "
                                + earlier.keyAt().line());
            }
        }
        return new Node.ObjectNode(at, members);
    }

    private Node array(Location at) throws IOException {
        List<Node> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            items.add(value());
        }
        return new Node.ArrayNode(at, items);
    }

    private Location here() {
        return place(parser.currentTokenLocation());
    }

    private static Location place(JsonLocation location) {
        return new Location(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()), (int)
                Math.max(0, location.getCharOffset()));
    }

    private static String oneLine(String message) {
        return "not JSON: " + message.replaceAll("\\s+", " ");
    }
}
