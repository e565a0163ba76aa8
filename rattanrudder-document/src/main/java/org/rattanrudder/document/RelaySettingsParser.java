package org.rattanrudder.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.document.RelaySettings.Bounds;

/**
 * Reads the settings of a relay: JSON with comments, each value checked.
 *
 * <pre>{@code
 * ParseResult<RelaySettings> result = new RelaySettingsParser().parse(Files.readString(path));
 * }</pre>
 */
public final class RelaySettingsParser {
    private static final long LONGEST_MILLIS = 3_600_000;
    private static final ValueKind<String> INSTANCE =
            ValueKind.name("instance", text -> new InstanceName(text).value());
    private static final ValueKind<String> DOMAIN =
            ValueKind.name("failure domain", text -> new CustomerName(text).value());

    private static final ValueKind<String> FEATURE =
            ValueKind.text("the name of a feature", text -> text, "placeholder");

    /** Reads the text and returns the settings, or all of its problems. */
    public ParseResult<RelaySettings> parse(String text) {
        Problems problems = new Problems();
        List<DefaultValue> defaults = new ArrayList<>();
        Optional<RelaySettings> settings =
                JsonTree.read(text, problems).map(root -> settings(new Fields(root, "", problems, defaults)));
        return settings.isPresent() && problems.isEmpty()
                ? new ParseResult.Accepted<>(settings.get(), defaults)
                : new ParseResult.Rejected<>(problems.sorted());
    }

    private static RelaySettings settings(Fields fields) {
        RelaySettings settings = new RelaySettings(
                fields.required("instance", INSTANCE),
                fields.required("failureDomain", DOMAIN),
                fields.required("callers", ValueKind.address()),
                fields.required("readiness", ValueKind.address()),
                fields.required("peers", ValueKind.address()),
                fields.required("metrics", ValueKind.address()),
                fields.required("store", ValueKind.address()),
                bounds(fields.requiredObject("bounds")),
                regions(fields),
                fields.optional("earlyRejection", ValueKind.bool(), false),
                Set.copyOf(new HashSet<>(fields.values("features", FEATURE))));
        fields.finish();
        return settings;
    }

    private static Map<String, String> regions(Fields fields) {
        Map<String, String> regions = new HashMap<>();
        fields.objects("regions", RelaySettingsParser::domain).forEach(domain -> {
            if (regions.put(domain.name(), domain.region()) != null) {
                fields.problem("regions", "failure domain \"" + domain.name() + "\" stands twice");
            }
        });
        return regions;
    }

    private record Domain(String name, String region) {}

    private static Domain domain(Fields fields) {
        Domain domain = new Domain(fields.required("failureDomain", DOMAIN), fields.required("region", DOMAIN));
        fields.finish();
        return domain;
    }

    private static Bounds bounds(Fields fields) {
        Bounds bounds = new Bounds(
                fields.required("retryRatio", ValueKind.number("0", "10")),
                fields.required("retryExtra", ValueKind.number("0", "1000000")),
                fields.required("retryWindowSeconds", ValueKind.integer(1, 3_600)) * 1_000L,
                fields.required("leaseMillis", ValueKind.longInteger(1, LONGEST_MILLIS)),
                fields.required("weightsMillis", ValueKind.longInteger(1, LONGEST_MILLIS)),
                fields.required("drainMillis", ValueKind.longInteger(1, LONGEST_MILLIS)),
                fields.optional(
                        "configurationMillis",
                        ValueKind.longInteger(1, LONGEST_MILLIS),
                        RelaySettings.DEFAULT_CONFIGURATION_MILLIS),
                fields.required("graceSeconds", ValueKind.integer(1, 3_600)) * 1_000L,
                fields.optional("warmUpOverage", ValueKind.number("1", "1000"), RelaySettings.DEFAULT_WARM_UP_OVERAGE),
                fields.optional("warmUpSlack", ValueKind.number("0", "1000000"), RelaySettings.DEFAULT_WARM_UP_SLACK));
        fields.finish();
        return bounds;
    }
}
