package org.rattanrudder.document;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads the members of one object by name. Each value that is missing or wrong is noted as a problem and replaced by a
 * placeholder, and {@link #finish} notes every key that nobody asked for.
 *
 * <pre>{@code
 * int share = fields.optional("share", ValueKind.integer(1, 1000), 1);
 * fields.finish();
 * }</pre>
 */
final class Fields {
    private final Node.ObjectNode object;
    private final String path;
    private final Problems problems;
    private final List<DefaultValue> defaults;
    private final Set<String> known = new LinkedHashSet<>();
    private final Set<String> forbidden = new LinkedHashSet<>();

    Fields(Node.ObjectNode object, String path, Problems problems, List<DefaultValue> defaults) {
        this.object = object;
        this.path = path;
        this.problems = problems;
        this.defaults = defaults;
    }

    <T> T required(String key, ValueKind<T> kind) {
        Optional<Node> node = take(key);
        if (node.isEmpty()) {
            problems.add(object.at(), "key \"" + key + "\" is missing" + inside() + ": expected " + kind.expected());
            return kind.placeholder();
        }
        return read(key, node.get(), kind);
    }

    <T> T optional(String key, ValueKind<T> kind, T defaultValue) {
        Optional<Node> node = take(key);
        if (node.isEmpty()) {
            noteDefault(key, defaultValue);
            return defaultValue;
        }
        return read(key, node.get(), kind);
    }

    <T> Optional<T> optional(String key, ValueKind<T> kind) {
        return take(key).map(node -> read(key, node, kind));
    }

    /** Returns the items of a list of values; an absent list is empty. */
    <T> List<T> values(String key, ValueKind<T> kind) {
        List<T> values = new ArrayList<>();
        for (Node item : items(key)) {
            values.add(read(key + "[" + values.size() + "]", item, kind));
        }
        return values;
    }

    /** Returns the items of a list of objects; an absent list is empty. */
    <T> List<T> objects(String key, Function<Fields, T> reader) {
        List<T> values = new ArrayList<>();
        for (Node item : items(key)) {
            String place = key + "[" + values.size() + "]";
            values.add(reader.apply(nested(place, item)));
        }
        return values;
    }

    /** Like {@link #objects}, but an absent or empty list is a problem. */
    <T> List<T> atLeastOne(String key, Function<Fields, T> reader) {
        List<T> values = objects(key, reader);
        boolean wrongType =
                object.members().containsKey(key) && !(object.members().get(key).value() instanceof Node.ArrayNode);
        if (values.isEmpty() && !wrongType) {
            problems.add(place(key), "expected at least one item in \"" + key + "\"");
        }
        return values;
    }

    /** Returns the fields of an object that must be there; an absent one gives a problem and no fields. */
    Fields requiredObject(String key) {
        Optional<Node> node = take(key);
        if (node.isEmpty()) {
            problems.add(object.at(), "key \"" + key + "\" is missing" + inside() + ": expected an object");
        }
        return node.map(given -> nested(key, given)).orElseGet(() -> empty(key, new Problems()));
    }

    /** Returns the fields of an object; an absent one is read as an empty one. */
    Fields optionalObject(String key) {
        return take(key).map(node -> nested(key, node)).orElseGet(() -> empty(key, problems));
    }

    /** Notes a problem if the key stands here, since it makes no sense for the given reason. */
    void forbid(String key, String reason) {
        forbidden.add(key);
        Node.Member member = object.members().get(key);
        if (member != null) {
            problems.add(member.keyAt(), "key \"" + key + "\"" + inside() + " is " + reason);
        }
    }

    /** Notes a problem at the value of the key, or at the object if the key is left out. */
    void problem(String key, String message) {
        problems.add(place(key), message);
    }

    /** Returns how many problems the text has so far: unchanged over some steps means that they went well. */
    int problemCount() {
        return problems.count();
    }

    /** Notes a problem for each key that wasn't asked for. */
    void finish() {
        object.members().forEach((key, member) -> {
            if (!known.contains(key) && !forbidden.contains(key)) {
                problems.add(member.keyAt(), "unknown key \"" + key + "\"" + inside() + NearestName.hint(key, known));
            }
        });
    }

    private Optional<Node> take(String key) {
        known.add(key);
        return Optional.ofNullable(object.members().get(key)).map(Node.Member::value);
    }

    private <T> T read(String key, Node node, ValueKind<T> kind) {
        Optional<T> value = kind.reader().apply(node);
        if (value.isEmpty()) {
            problems.add(node.at(), child(key) + ": " + kind.mismatch(node));
        }
        return value.orElse(kind.placeholder());
    }

    private List<Node> items(String key) {
        Optional<Node> node = take(key);
        if (node.isEmpty()) {
            return List.of();
        }
        if (node.get() instanceof Node.ArrayNode array) {
            return array.items();
        }
        problems.add(
                node.get().at(),
                child(key) + ": expected a list, not " + node.get().describe());
        return List.of();
    }

    private Fields nested(String key, Node node) {
        if (node instanceof Node.ObjectNode given) {
            return new Fields(given, child(key), problems, defaults);
        }
        problems.add(node.at(), child(key) + ": expected an object, not " + node.describe());
        return empty(key, new Problems());
    }

    /** An object without members; problems about what it lacks go to the given list, which may be a throwaway one. */
    private Fields empty(String key, Problems sink) {
        return new Fields(new Node.ObjectNode(object.at(), Map.of()), child(key), sink, defaults);
    }

    private void noteDefault(String key, Object value) {
        defaults.add(new DefaultValue(child(key), Wording.of(value)));
    }

    private Location place(String key) {
        Node.Member member = object.members().get(key);
        return member == null ? object.at() : member.value().at();
    }

    private String child(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private String inside() {
        return path.isEmpty() ? "" : " in " + path;
    }
}
