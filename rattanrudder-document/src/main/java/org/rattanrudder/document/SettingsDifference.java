package org.rattanrudder.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Says which keys differ between two texts of settings.
 *
 * <pre>{@code
 * SettingsDifference.keys(before, after); // ["bounds.graceSeconds", "store"]
 * }</pre>
 */
public final class SettingsDifference {
    private SettingsDifference() {}

    /**
     * Returns the keys whose values differ or that only one text has, in the order of the alphabet, those of objects
     * inside with a dot. Comments and white space don't count. A text that isn't JSON counts as having no keys.
     */
    public static List<String> keys(String before, String after) {
        Map<String, String> old = values(before);
        Map<String, String> now = values(after);
        TreeSet<String> keys = new TreeSet<>(old.keySet());
        keys.addAll(now.keySet());
        return keys.stream()
                .filter(key -> !Optional.ofNullable(old.get(key)).equals(Optional.ofNullable(now.get(key))))
                .toList();
    }

    private static Map<String, String> values(String text) {
        Map<String, String> values = new TreeMap<>();
        JsonTree.read(text, new Problems()).ifPresent(root -> collect("", root, values));
        return values;
    }

    private static void collect(String key, Node node, Map<String, String> values) {
        if (node instanceof Node.ObjectNode object) {
            String prefix = key.isEmpty() ? "" : key + ".";
            object.members().forEach((name, member) -> collect(prefix + name, member.value(), values));
        } else if (node instanceof Node.ArrayNode array) {
            StringBuilder items = new StringBuilder();
            array.items().forEach(item -> items.append(text(item)).append('\n'));
            values.put(key, items.toString());
        } else {
            values.put(key, node.describe());
        }
    }

    private static String text(Node item) {
        Map<String, String> values = new TreeMap<>();
        collect("", item, values);
        return values.toString();
    }
}
