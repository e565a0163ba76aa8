package org.rattanrudder.standins.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.standins.deployment.Layout;

/** Sends prompts straight to the engines by a naive rule, as a comparison; log entries are left out. */
final class DirectRoute implements Route {
    /** Chooses an engine. */
    @FunctionalInterface
    interface Rule {
        /** Returns the place of the engine among the given ones. */
        int choose(List<Address> engines, LoadRequest request, int number);
    }

    private final CallerClient client = new CallerClient();
    private final Layout.Document document;
    private final List<Address> engines;
    private final Rule rule;

    DirectRoute(Layout layout, Shape shape, Rule rule) {
        document = layout.document(shape.promptService());
        engines = document.content().targets().stream()
                .map(TargetSettings::address)
                .toList();
        this.rule = rule;
    }

    /** Returns the rule that sends a customer's context always to the same engine. */
    static Rule prefixAffinity() {
        return (engines, request, number) ->
                Math.floorMod((request.customer() + request.context()).hashCode(), engines.size());
    }

    /** Returns the rule that takes the engine with the least load by the engines' last reports, which lag. */
    static Rule leastLoad() {
        CallerClient client = new CallerClient();
        Map<Address, Reported> reports = new ConcurrentHashMap<>();
        return (engines, request, number) -> {
            int best = 0;
            for (int place = 0; place < engines.size(); place++) {
                refresh(client, reports, engines.get(place));
                if (load(reports, engines.get(place)) < load(reports, engines.get(best))) {
                    best = place;
                }
            }
            return best;
        };
    }

    /** Returns the rule that takes the engines in turn. */
    static Rule roundRobin() {
        return (engines, request, number) -> number % engines.size();
    }

    private static int load(Map<Address, Reported> reports, Address engine) {
        return reports.get(engine).load();
    }

    private static void refresh(CallerClient client, Map<Address, Reported> reports, Address engine) {
        long now = System.nanoTime();
        Reported known = reports.get(engine);
        if (known == null || now - known.askedNanos() > Reported.KEPT_NANOS) {
            reports.put(engine, new Reported(known == null ? 0 : known.load(), now));
            client.send(engine, "GET", "/load", Map.of(), "")
                    .thenAccept(answer -> reports.put(
                            engine,
                            new Reported(
                                    answer.json().path("running").asInt()
                                            + answer.json().path("waiting").asInt(),
                                    now)));
        }
    }

    @Override
    public CompletableFuture<Answer> send(LoadRequest request, int number) {
        String customer = document.credential(request.customer());
        String version = document.content().model().orElseThrow().version();
        ObjectNode body = Caller.body(document.service(), request.text(), request.answerTokens())
                .put(
                        "cache_salt",
                        Digest.of(customer, document.service(), version).toHex())
                .put("priority", 0)
                .put("request_id", "direct-" + number)
                .put("piece_tokens", document.content().cache().pieceTokens());
        Address engine = engines.get(rule.choose(engines, request, number));
        return client.send(engine, "POST", "/v1/chat/completions", Map.of(), body.toString());
    }

    /**
     * An engine's last report.
     *
     * @param load requests that run or wait
     * @param askedNanos when it was asked for
     */
    private record Reported(int load, long askedNanos) {
        private static final long KEPT_NANOS = 200_000_000;
    }
}
