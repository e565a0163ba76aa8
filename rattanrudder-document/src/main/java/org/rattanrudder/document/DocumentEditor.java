package org.rattanrudder.document;

import java.util.Optional;

/** Edits a document's text in place, so that comments and layout stay as its team wrote them. */
public final class DocumentEditor {
    private static final String DRAINING = "draining";

    private DocumentEditor() {}

    /**
     * Returns the text with one target's {@code draining} set.
     *
     * @param text the document
     * @param target the target's name
     * @param draining the value to set
     * @return the edited text, the same text if it says so already; empty if it names no such target or isn't readable
     */
    public static Optional<String> setDraining(String text, String target, boolean draining) {
        return JsonTree.read(text, new Problems())
                .flatMap(root -> targetNode(root, target))
                .map(node -> edited(text, node, draining));
    }

    private static Optional<Node.ObjectNode> targetNode(Node.ObjectNode root, String target) {
        Node.Member targets = root.members().get("targets");
        if (targets == null || !(targets.value() instanceof Node.ArrayNode list)) {
            return Optional.empty();
        }
        return list.items().stream()
                .filter(Node.ObjectNode.class::isInstance)
                .map(Node.ObjectNode.class::cast)
                .filter(each -> isNamed(each, target))
                .findFirst();
    }

    private static boolean isNamed(Node.ObjectNode object, String name) {
        Node.Member member = object.members().get("name");
        return member != null
                && member.value() instanceof Node.TextNode text
                && text.value().equals(name);
    }

    private static String edited(String text, Node.ObjectNode target, boolean draining) {
        Node.Member member = target.members().get(DRAINING);
        if (member == null && !draining) {
            return text;
        }
        if (member == null) {
            String rest = text.substring(target.at().offset() + 1);
            String gap = Character.isWhitespace(rest.charAt(0)) ? "" : " ";
            return text.substring(0, target.at().offset() + 1) + "\"" + DRAINING + "\": true," + gap + rest;
        }
        if (!(member.value() instanceof Node.BooleanNode given) || given.value() == draining) {
            return text;
        }
        int start = given.at().offset();
        int end = start + Boolean.toString(given.value()).length();
        return text.substring(0, start) + draining + text.substring(end);
    }
}
