package org.rattanrudder.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.document.ProcessSettings.PlatformAddresses;
import org.rattanrudder.document.ProcessSettings.ProcessLimits;
import org.rattanrudder.document.ProcessSettings.Role;

/**
 * Reads the settings of one process: the same format and the same checks as a service document.
 *
 * <pre>{@code
 * ParseResult<ProcessSettings> result = new ProcessSettingsParser().parse(Files.readString(path));
 * }</pre>
 */
public final class ProcessSettingsParser {
    private static final int LARGEST_BODY = 64 * 1024 * 1024;
    private static final ValueKind<Role> ROLE = ValueKind.oneOf(roles());
    private static final ValueKind<String> DOMAIN =
            ValueKind.name("failure domain", text -> new CustomerName(text).value());

    /** Reads the text and returns the settings with the defaults that were filled in, or all of its problems. */
    public ParseResult<ProcessSettings> parse(String text) {
        Problems problems = new Problems();
        List<DefaultValue> defaults = new ArrayList<>();
        Optional<ProcessSettings> settings =
                JsonTree.read(text, problems).map(root -> settings(new Fields(root, "", problems, defaults)));
        return settings.isPresent() && problems.isEmpty()
                ? new ParseResult.Accepted<>(settings.get(), defaults)
                : new ParseResult.Rejected<>(problems.sorted());
    }

    private static ProcessSettings settings(Fields fields) {
        int problemsBefore = fields.problemCount();
        Role role = fields.required("role", ROLE);
        boolean roleKnown = fields.problemCount() == problemsBefore;
        Optional<Address> link = fields.optional("link", ValueKind.address());
        Optional<Digest> operator = fields.optional("operatorCredential", ValueKind.digest());
        if (roleKnown) {
            checkRole(fields, role, link, operator);
        }
        ProcessSettings settings = new ProcessSettings(
                role,
                fields.required("instance", ValueKind.name("instance", InstanceName::new)),
                fields.required("failureDomain", DOMAIN),
                fields.required("http", ValueKind.address()),
                link,
                platform(fields.requiredObject("platform")),
                operator,
                fields.optional("drainSeconds", ValueKind.integer(1, 3_600), 30),
                fields.values("peers", ValueKind.address()),
                limits(fields.optionalObject("limits")));
        if (link.isPresent() && link.get().equals(settings.http())) {
            fields.problem("link", "link and http are the same address");
        }
        fields.finish();
        return settings;
    }

    private static void checkRole(Fields fields, Role role, Optional<Address> link, Optional<Digest> operator) {
        boolean companion = role == Role.COMPANION;
        if (companion && link.isEmpty()) {
            fields.problem("link", "a companion needs \"link\": where it listens for entries");
        }
        if (companion && operator.isPresent()) {
            fields.problem("operatorCredential", "operators call entries: a companion takes no operatorCredential");
        }
        if (!companion && link.isPresent()) {
            fields.problem("link", "an entry opens links and listens on none: only a companion has \"link\"");
        }
        if (!companion && operator.isEmpty()) {
            fields.problem(
                    "operatorCredential", "an entry needs \"operatorCredential\": the digest that lets operators in");
        }
    }

    private static PlatformAddresses platform(Fields fields) {
        PlatformAddresses platform = new PlatformAddresses(
                fields.required("log", ValueKind.address()),
                fields.required("instances", ValueKind.address()),
                fields.required("weights", ValueKind.address()));
        fields.finish();
        return platform;
    }

    private static ProcessLimits limits(Fields fields) {
        ProcessLimits limits = new ProcessLimits(
                fields.optional("bodyBytes", ValueKind.integer(1_024, LARGEST_BODY), LARGEST_BODY),
                fields.optional("headerBytes", ValueKind.integer(1_024, 1_048_576), 32_768),
                fields.optional("bodyMillis", ValueKind.longInteger(100, 600_000), 10_000L),
                fields.optional("connections", ValueKind.integer(1, 1_000_000), 10_000));
        fields.finish();
        return limits;
    }

    private static Map<String, Role> roles() {
        Map<String, Role> roles = new LinkedHashMap<>();
        for (Role role : Role.values()) {
            roles.put(Wording.word(role), role);
        }
        return roles;
    }
}
