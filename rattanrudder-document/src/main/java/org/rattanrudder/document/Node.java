package org.rattanrudder.document;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/** A JSON value together with the place where it stands, so that a problem found later can point at it. */
sealed interface Node {
    /** Returns where the value begins. */
    Location at();

    /** Returns the value in the words of an error message. */
    String describe();

    /**
     * An object.
     *
     * @param at where its brace stands
     * @param members its members in the order of the text
     */
    record ObjectNode(Location at, Map<String, Member> members) implements Node {
        @Override
        public String describe() {
            return "an object";
        }
    }

    /**
     * One member of an object.
     *
     * @param keyAt where its key stands
     * @param value its value
     */
    record Member(Location keyAt, Node value) {}

    /**
     * An array.
     *
     * @param at where its bracket stands
     * @param items its items
     */
    record ArrayNode(Location at, List<Node> items) implements Node {
        @Override
        public String describe() {
            return "a list";
        }
    }

    /**
     * A text.
     *
     * @param at where its quote stands
     * @param value the text
     */
    record TextNode(Location at, String value) implements Node {
        @Override
        public String describe() {
            return "\"" + value + "\"";
        }
    }

    /**
     * A number.
     *
     * @param at where it begins
     * @param value the number
     */
    record NumberNode(Location at, BigDecimal value) implements Node {
        @Override
        public String describe() {
            return value.toString();
        }
    }

    /**
     * True or false.
     *
     * @param at where it begins
     * @param value which
     */
    record BooleanNode(Location at, boolean value) implements Node {
        @Override
        public String describe() {
            return Boolean.toString(value);
        }
    }

    /**
     * The value null.
     *
     * @param at where it begins
     */
    record NullNode(Location at) implements Node {
        @Override
        public String describe() {
            return "null";
        }
    }
}
