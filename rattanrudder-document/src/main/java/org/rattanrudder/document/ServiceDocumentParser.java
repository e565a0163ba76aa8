package org.rattanrudder.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.rattanrudder.core.document.CacheSettings;
import org.rattanrudder.core.document.CallRule;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.LimitSettings;
import org.rattanrudder.core.document.ModelSettings;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/**
 * Reads a service document: JSON with comments, every key checked, defaults filled in.
 *
 * <p>All problems of a text are reported, each with line, column, what was expected and the nearest known name.
 *
 * <pre>{@code
 * ParseResult<ServiceDocument> result = new ServiceDocumentParser().parse(Files.readString(path));
 * if (result instanceof ParseResult.Rejected<ServiceDocument> rejected) {
 *     rejected.problems().forEach(problem -> System.err.println(problem.in(path.toString())));
 * }
 * }</pre>
 */
public final class ServiceDocumentParser implements DocumentReader {
    private static final int MOST_PROBLEMS_IN_REASON = 10;
    private static final long DEFAULT_LINK = 1_000_000_000L;
    private static final long LARGEST_LINK = 1_000_000_000_000L;
    private static final int DEFAULT_CONCURRENCY = 16;
    private static final long LONGEST_MILLIS = 86_400_000L;
    private static final long LONGEST_RETENTION_SECONDS = 2_592_000L;
    private static final long DEFAULT_RETENTION_SECONDS = 86_400L;
    private static final int LARGEST_BODY = 64 * 1024 * 1024;
    private static final int DEFAULT_BODY = 8 * 1024 * 1024;
    private static final ValueKind<Long> LINK = ValueKind.longInteger(1, LARGEST_LINK);
    private static final ValueKind<Long> MILLIS = ValueKind.longInteger(1, LONGEST_MILLIS);
    private static final ValueKind<String> CLASS_NAME =
            ValueKind.name("request class", text -> new CustomerName(text).value());
    private static final ValueKind<String> DOMAIN =
            ValueKind.name("failure domain", text -> new CustomerName(text).value());
    private static final ValueKind<String> STORE = ValueKind.name("store", text -> new CustomerName(text).value());
    private static final ValueKind<String> WORD =
            ValueKind.text("a text that isn't empty", ServiceDocumentParser::notEmpty, "");
    private static final ValueKind<String> PATH =
            ValueKind.text("a path that starts with a slash", ServiceDocumentParser::path, "/");
    private static final ValueKind<String> METHOD =
            ValueKind.text("an HTTP method in capital letters, or \"*\"", ServiceDocumentParser::method, "*");
    private static final ValueKind<ServiceKind> KIND = ValueKind.oneOf(words(ServiceKind.values()));
    private static final ValueKind<CacheSettings.Favour> FAVOUR = ValueKind.oneOf(words(CacheSettings.Favour.values()));

    @Override
    public Reading read(String text) {
        ParseResult<ServiceDocument> result = parse(text);
        if (result instanceof ParseResult.Rejected<ServiceDocument> rejected) {
            return new Invalid(reason(rejected.problems()));
        }
        return new Valid(((ParseResult.Accepted<ServiceDocument>) result).value());
    }

    /** Reads the text and returns the document with the defaults that were filled in, or all of its problems. */
    public ParseResult<ServiceDocument> parse(String text) {
        Problems problems = new Problems();
        List<DefaultValue> defaults = new ArrayList<>();
        Optional<ServiceDocument> document = JsonTree.read(text, problems).map(root -> {
            ServiceDocument read = document(new Fields(root, "", problems, defaults));
            new DocumentChecks(root, problems).run();
            return read;
        });
        return document.isPresent() && problems.isEmpty()
                ? new ParseResult.Accepted<>(document.get(), defaults)
                : new ParseResult.Rejected<>(problems.sorted());
    }

    private static ServiceDocument document(Fields fields) {
        ServiceName service = fields.required("service", ValueKind.name("service", ServiceName::new));
        int problemsBefore = fields.problemCount();
        ServiceKind kind = fields.required("kind", KIND);
        // Without a kind, the keys that only one kind has are taken as given, so that one mistake gives one problem.
        boolean kindKnown = fields.problemCount() == problemsBefore;
        boolean plain = kindKnown && kind == ServiceKind.PLAIN;
        boolean prompt = kindKnown && kind == ServiceKind.PROMPT;
        Optional<ModelSettings> model = Optional.empty();
        List<StoreSettings> stores = List.of();
        if (plain) {
            List.of("model", "stores", "cache").forEach(key -> fields.forbid(key, onlyFor(ServiceKind.PROMPT)));
        } else {
            model = Optional.of(model(prompt ? fields.requiredObject("model") : fields.optionalObject("model")))
                    .filter(read -> prompt);
            stores = fields.objects("stores", ServiceDocumentParser::store);
        }
        List<TargetSettings> targets = fields.atLeastOne("targets", target -> target(target, plain));
        List<CustomerSettings> customers = fields.atLeastOne("customers", ServiceDocumentParser::customer);
        List<RequestClass> classes = fields.atLeastOne("classes", ServiceDocumentParser::requestClass);
        List<CallRule> calls = List.of();
        if (prompt) {
            fields.forbid("calls", onlyFor(ServiceKind.PLAIN));
        } else {
            calls = fields.objects("calls", ServiceDocumentParser::callRule);
        }
        CacheSettings cache = plain ? noCache() : cache(fields.optionalObject("cache"));
        LimitSettings limits = limits(fields.optionalObject("limits"));
        fields.finish();
        return new ServiceDocument(service, kind, model, targets, stores, customers, classes, calls, cache, limits);
    }

    private static ModelSettings model(Fields fields) {
        ModelSettings model = new ModelSettings(
                fields.required("name", WORD), fields.required("version", WORD), fields.values("adapters", WORD));
        fields.finish();
        return model;
    }

    private static TargetSettings target(Fields fields, boolean plain) {
        if (plain) {
            List.of("checksFencing", "linkBytesPerSecond")
                    .forEach(key -> fields.forbid(key, onlyFor(ServiceKind.PROMPT)));
        }
        TargetSettings target = new TargetSettings(
                fields.required("name", ValueKind.name("target", TargetName::new)),
                fields.required("address", ValueKind.address()),
                fields.required("companion", ValueKind.address()),
                fields.required("failureDomain", DOMAIN),
                !plain && fields.optional("checksFencing", ValueKind.bool(), false),
                fields.optional("draining", ValueKind.bool(), false),
                plain ? DEFAULT_LINK : fields.optional("linkBytesPerSecond", LINK, DEFAULT_LINK),
                fields.optional("concurrency", ValueKind.integer(1, 100_000), DEFAULT_CONCURRENCY));
        fields.finish();
        return target;
    }

    private static StoreSettings store(Fields fields) {
        StoreSettings store = new StoreSettings(
                fields.required("name", STORE),
                fields.required("address", ValueKind.address()),
                fields.required("failureDomain", DOMAIN),
                fields.optional("linkBytesPerSecond", LINK, DEFAULT_LINK));
        fields.finish();
        return store;
    }

    private static CustomerSettings customer(Fields fields) {
        CustomerSettings customer = new CustomerSettings(
                fields.required("name", ValueKind.name("customer", CustomerName::new)),
                fields.values("credentials", ValueKind.digest()),
                fields.optional("share", ValueKind.integer(1, 1_000_000), 1),
                fields.optional("requestsPerSecond", ValueKind.number("0", "10000000"), 0.0),
                Set.copyOf(new TreeSet<>(fields.values("classes", CLASS_NAME))));
        fields.finish();
        return customer;
    }

    private static RequestClass requestClass(Fields fields) {
        int problemsBefore = fields.problemCount();
        RequestClass requestClass = new RequestClass(
                fields.required("name", CLASS_NAME),
                fields.required("priority", ValueKind.integer(0, 100)),
                fields.required("deadlineMillis", MILLIS),
                fields.required("objectiveMillis", MILLIS),
                fields.optional("objectiveShare", ValueKind.number("0.5", "0.99999"), 0.99));
        boolean readable = fields.problemCount() == problemsBefore;
        if (readable && requestClass.deadlineMillis() < requestClass.objectiveMillis()) {
            fields.problem(
                    "deadlineMillis",
                    "the deadline of " + requestClass.deadlineMillis() + " ms is before the objective of "
                            + requestClass.objectiveMillis()
                            + " ms: a request would be refused while it still counted as good");
        }
        fields.finish();
        return requestClass;
    }

    private static CallRule callRule(Fields fields) {
        CallRule rule = new CallRule(
                fields.optional("method", METHOD, "*"),
                fields.optional("pathPrefix", PATH, "/"),
                fields.required("idempotent", ValueKind.bool()));
        fields.finish();
        return rule;
    }

    private static CacheSettings cache(Fields fields) {
        CacheSettings cache = new CacheSettings(
                fields.optional("favour", FAVOUR, CacheSettings.Favour.FIRST_TOKEN),
                fields.optional("pieceTokens", ValueKind.integer(16, 65_536), 2_000),
                fields.optional("bytesPerToken", ValueKind.integer(1, 16_777_216), 131_072),
                fields.optional("prefillTokensPerSecond", ValueKind.longInteger(1, 100_000_000), 20_000L));
        fields.finish();
        return cache;
    }

    /** Plain services move no cache; the values are never used. */
    private static CacheSettings noCache() {
        return new CacheSettings(CacheSettings.Favour.FIRST_TOKEN, 2_000, 1, 1);
    }

    private static LimitSettings limits(Fields fields) {
        LimitSettings limits = new LimitSettings(
                fields.optional("bodyBytes", ValueKind.integer(1_024, LARGEST_BODY), DEFAULT_BODY),
                fields.optional("queueLength", ValueKind.integer(1, 100_000), 64),
                fields.optional("progressMillis", ValueKind.longInteger(100, 3_600_000), 10_000L),
                fields.optional(
                        "keyRetentionSeconds",
                        ValueKind.longInteger(60, LONGEST_RETENTION_SECONDS),
                        DEFAULT_RETENTION_SECONDS),
                fields.optional("retryShare", ValueKind.number("0", "1"), 0.1));
        fields.finish();
        return limits;
    }

    private static String onlyFor(ServiceKind kind) {
        return "only for services of kind \"" + Wording.word(kind) + "\"";
    }

    private static <E extends Enum<E>> Map<String, E> words(E[] constants) {
        return List.of(constants).stream()
                .collect(Collectors.toMap(Wording::word, each -> each, (one, other) -> one, LinkedHashMap::new));
    }

    private static String notEmpty(String text) {
        if (text.isBlank()) {
            throw new IllegalArgumentException("empty");
        }
        return text;
    }

    private static String path(String text) {
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("no leading slash");
        }
        return text;
    }

    private static String method(String text) {
        if (!text.matches("[A-Z]+|\\*")) {
            throw new IllegalArgumentException("no method");
        }
        return text;
    }

    private static String reason(List<Problem> problems) {
        String shown = problems.stream()
                .limit(MOST_PROBLEMS_IN_REASON)
                .map(Problem::toString)
                .collect(Collectors.joining("; "));
        int left = problems.size() - MOST_PROBLEMS_IN_REASON;
        return left > 0 ? shown + "; and " + left + " more" : shown;
    }
}
