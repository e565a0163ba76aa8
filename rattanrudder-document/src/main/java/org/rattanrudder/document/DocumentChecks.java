package org.rattanrudder.document;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds what contradicts itself within a document although each value alone is right. Works on the text's nodes, so
 * that it also finds contradictions beside values that are wrong.
 */
final class DocumentChecks {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int SECONDS_PER_DAY = 86_400;

    private final Node.ObjectNode root;
    private final Problems problems;

    DocumentChecks(Node.ObjectNode root, Problems problems) {
        this.root = root;
        this.problems = problems;
    }

    void run() {
        unique("target", texts("targets", "name"));
        unique("target address", texts("targets", "address"));
        unique("store", texts("stores", "name"));
        unique("store address", texts("stores", "address"));
        unique("customer", texts("customers", "name"));
        unique("request class", texts("classes", "name"));
        unique("credential", credentials());
        knownClasses();
        addressesApart();
        companionsInOneDomain();
        targetsLeft();
        keysOutliveDeadlines();
        rulesReached();
    }

    /** Two of a name hide one of them; a shared credential would give one customer another's rights. */
    private void unique(String what, List<Node.TextNode> texts) {
        Map<String, Location> first = new HashMap<>();
        for (Node.TextNode text : texts) {
            Location earlier = first.putIfAbsent(text.value(), text.at());
            if (earlier != null) {
                problems.add(
                        text.at(),
                        "the " + what + " " + text.describe() + " stands twice; the first is in line "
                                + earlier.line());
            }
        }
    }

    private void knownClasses() {
        List<String> known =
                texts("classes", "name").stream().map(Node.TextNode::value).toList();
        for (Node.ObjectNode customer : objects("customers")) {
            for (Node.TextNode name : textItems(customer, "classes")) {
                if (!known.contains(name.value())) {
                    problems.add(
                            name.at(),
                            "no request class is called " + name.describe() + NearestName.hint(name.value(), known));
                }
            }
        }
    }

    private void addressesApart() {
        Map<String, String> owners = new LinkedHashMap<>();
        texts("targets", "address").forEach(text -> owners.putIfAbsent(text.value(), "a target"));
        texts("targets", "companion").forEach(text -> taken(owners, text, "a companion"));
        texts("stores", "address").forEach(text -> taken(owners, text, "a store"));
    }

    private void taken(Map<String, String> owners, Node.TextNode text, String owner) {
        String earlier = owners.putIfAbsent(text.value(), owner);
        if (earlier != null && !earlier.equals(owner)) {
            problems.add(text.at(), "the address " + text.describe() + " of " + owner + " is also that of " + earlier);
        }
    }

    /** One companion may hold several targets, but it stands in one failure domain, and so do they. */
    private void companionsInOneDomain() {
        Map<String, String> domains = new HashMap<>();
        for (Node.ObjectNode target : objects("targets")) {
            Optional<Node.TextNode> companion = text(target, "companion");
            Optional<Node.TextNode> domain = text(target, "failureDomain");
            if (companion.isEmpty() || domain.isEmpty()) {
                continue;
            }
            String other =
                    domains.putIfAbsent(companion.get().value(), domain.get().value());
            if (other != null && !other.equals(domain.get().value())) {
                problems.add(
                        domain.get().at(),
                        "the companion " + companion.get().describe() + " holds a target in \"" + other
                                + "\" too: one companion stands in one failure domain");
            }
        }
    }

    private void targetsLeft() {
        List<Node.ObjectNode> targets = objects("targets");
        boolean allDraining = targets.stream()
                .allMatch(target -> target.members().containsKey("draining")
                        && target.members().get("draining").value() instanceof Node.BooleanNode draining
                        && draining.value());
        if (!targets.isEmpty() && allDraining) {
            problems.add(
                    root.members().get("targets").keyAt(),
                    "every target is draining: the service could take no request");
        }
    }

    /** A key forgotten while its first call may still wait for an answer would let a repeat run a second time. */
    private void keysOutliveDeadlines() {
        Optional<Node.ObjectNode> limits = object(root, "limits");
        Optional<BigDecimal> retention = limits.flatMap(given -> number(given, "keyRetentionSeconds"));
        BigDecimal retentionMillis =
                retention.orElse(BigDecimal.valueOf(SECONDS_PER_DAY)).multiply(BigDecimal.valueOf(MILLIS_PER_SECOND));
        for (Node.ObjectNode each : objects("classes")) {
            Optional<BigDecimal> deadline = number(each, "deadlineMillis");
            if (deadline.isPresent() && deadline.get().compareTo(retentionMillis) >= 0) {
                problems.add(
                        each.members().get("deadlineMillis").value().at(),
                        "the deadline of " + deadline.get()
                                + " ms doesn't end before limits.keyRetentionSeconds does: a key would be forgotten "
                                + "while its call may still run");
            }
        }
    }

    /** The first rule that matches holds, so a rule below one that covers it never does. */
    private void rulesReached() {
        List<Node.ObjectNode> earlier = new ArrayList<>();
        for (Node.ObjectNode rule : objects("calls")) {
            earlier.stream()
                    .filter(above -> covers(above, rule))
                    .findFirst()
                    .ifPresent(above -> problems.add(
                            rule.at(),
                            "this rule is never reached: the rule in line "
                                    + above.at().line() + " covers it"));
            earlier.add(rule);
        }
    }

    private static boolean covers(Node.ObjectNode above, Node.ObjectNode rule) {
        String method = text(above, "method").map(Node.TextNode::value).orElse("*");
        String path = text(above, "pathPrefix").map(Node.TextNode::value).orElse("/");
        String innerMethod = text(rule, "method").map(Node.TextNode::value).orElse("*");
        String innerPath = text(rule, "pathPrefix").map(Node.TextNode::value).orElse("/");
        return (method.equals("*") || method.equals(innerMethod)) && innerPath.startsWith(path);
    }

    private List<Node.TextNode> credentials() {
        return objects("customers").stream()
                .flatMap(customer -> textItems(customer, "credentials").stream())
                .toList();
    }

    private List<Node.TextNode> texts(String list, String key) {
        return objects(list).stream().flatMap(item -> text(item, key).stream()).toList();
    }

    private List<Node.ObjectNode> objects(String key) {
        return items(root, key).stream()
                .filter(Node.ObjectNode.class::isInstance)
                .map(Node.ObjectNode.class::cast)
                .toList();
    }

    private static List<Node.TextNode> textItems(Node.ObjectNode object, String key) {
        return items(object, key).stream()
                .filter(Node.TextNode.class::isInstance)
                .map(Node.TextNode.class::cast)
                .toList();
    }

    private static List<Node> items(Node.ObjectNode object, String key) {
        return member(object, key)
                .filter(Node.ArrayNode.class::isInstance)
                .map(array -> ((Node.ArrayNode) array).items())
                .orElse(List.of());
    }

    private static Optional<Node.TextNode> text(Node.ObjectNode object, String key) {
        return member(object, key).filter(Node.TextNode.class::isInstance).map(Node.TextNode.class::cast);
    }

    private static Optional<BigDecimal> number(Node.ObjectNode object, String key) {
        return member(object, key)
                .filter(Node.NumberNode.class::isInstance)
                .map(number -> ((Node.NumberNode) number).value());
    }

    private static Optional<Node.ObjectNode> object(Node.ObjectNode object, String key) {
        return member(object, key).filter(Node.ObjectNode.class::isInstance).map(Node.ObjectNode.class::cast);
    }

    private static Optional<Node> member(Node.ObjectNode object, String key) {
        return Optional.ofNullable(object.members().get(key)).map(Node.Member::value);
    }
}
