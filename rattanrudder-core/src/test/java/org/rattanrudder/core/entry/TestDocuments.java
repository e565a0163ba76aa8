package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.document.CacheSettings;
import org.rattanrudder.core.document.CallRule;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.LimitSettings;
import org.rattanrudder.core.document.ModelSettings;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/** Documents of small services for tests, and a reader that maps a short text to each of them. */
final class TestDocuments implements DocumentReader {
    static final Digest CREDENTIAL = Digest.of("depot-sever-secret");

    private final Map<String, ServiceDocument> documents = new HashMap<>();

    @Override
    public Reading read(String text) {
        ServiceDocument document = documents.get(text);
        return document == null ? new Invalid("line 1, column 1: unknown text") : new Valid(document);
    }

    /** Registers the document and returns the text that represents it. */
    String textOf(ServiceDocument document) {
        String text = document.service() + "#" + documents.size();
        documents.put(text, document);
        return text;
    }

    static ServiceDocument prompts(TargetSettings... targets) {
        return document("palivo-llm", ServiceKind.PROMPT, 0, targets);
    }

    static ServiceDocument plain(TargetSettings... targets) {
        return document("fuel-ledger", ServiceKind.PLAIN, 0, targets);
    }

    static ServiceDocument limited(double requestsPerSecond, TargetSettings... targets) {
        return document("palivo-llm", ServiceKind.PROMPT, requestsPerSecond, targets);
    }

    static TargetSettings target(int number) {
        return target(number, "depo-sever", false);
    }

    static TargetSettings target(int number, String failureDomain, boolean draining) {
        Address address = new Address("10.0.0." + number, 9000);
        return new TargetSettings(
                new TargetName("target-" + number), address, companion(number), failureDomain, true, draining, 0, 4);
    }

    static Address companion(int number) {
        return new Address("10.0.1." + number, 9000);
    }

    private static ServiceDocument document(String name, ServiceKind kind, double rate, TargetSettings... targets) {
        boolean isPrompt = kind == ServiceKind.PROMPT;
        List<RequestClass> classes = new ArrayList<>();
        classes.add(new RequestClass("check", 0, 10_000, 400, 0.99));
        classes.add(new RequestClass("audit", 5, 10_000, 4_000, 0.9));
        return new ServiceDocument(
                new ServiceName(name),
                kind,
                isPrompt ? Optional.of(new ModelSettings("palivo", "v1", List.of())) : Optional.empty(),
                List.of(targets),
                List.of(),
                List.of(new CustomerSettings(new CustomerName("depot-sever"), List.of(CREDENTIAL), 1, rate, Set.of())),
                classes,
                List.of(new CallRule("POST", "/entries", false)),
                new CacheSettings(CacheSettings.Favour.FIRST_TOKEN, 2000, 1000, 10_000),
                new LimitSettings(1_000_000, 100, 5_000, 3_600, 0.1));
    }
}
