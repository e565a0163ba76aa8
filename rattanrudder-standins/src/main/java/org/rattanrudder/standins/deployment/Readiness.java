package org.rattanrudder.standins.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.load.Answer;
import org.rattanrudder.standins.load.CallerClient;

/** Publishes a layout's documents and waits until every entry has every target at hand. */
public final class Readiness {
    private static final long DEADLINE_SECONDS = 60;
    private static final long POLL_MILLIS = 20;

    private final Layout layout;
    private final CallerClient client;
    private final Runnable watch;

    /** Creates it for processes that somebody else has started and watches. */
    public Readiness(Layout layout, CallerClient client) {
        this(layout, client, () -> {});
    }

    /**
     * Creates it for processes that have been started.
     *
     * @param watch called while it waits; throws if waiting is of no use, since a process has ended
     */
    public Readiness(Layout layout, CallerClient client, Runnable watch) {
        this.layout = layout;
        this.client = client;
        this.watch = watch;
    }

    /** Publishes every document that isn't in force yet and waits until all is ready. */
    public void publishAndWait() {
        List<Address> entries = layout.entryAddresses();
        entries.forEach(entry -> await("entry " + entry + " answers", () -> isLive(entry)));
        Operator operator = new Operator(client, entries.get(0));
        for (Layout.Document document : layout.documents()) {
            await("accepted: " + document.service(), () -> isPublished(operator, document));
        }
        for (Address entry : entries) {
            Operator atEntry = new Operator(client, entry);
            await(
                    "entry " + entry + " sees every target",
                    () -> acceptingTargets(atEntry.status()).containsAll(targets()),
                    () -> atEntry.status().path("companions").toString());
        }
    }

    private boolean isLive(Address entry) {
        return client.call(entry, "GET", "/health/live", Map.of(), "").status() == 200;
    }

    private static boolean isPublished(Operator operator, Layout.Document document) {
        if (operator.revision(document.service()) > 0) {
            return true;
        }
        Answer answer = operator.publish(document.service(), 0, document.text());
        if (answer.errorKind().equals("invalid_document")) {
            throw new IllegalArgumentException(answer.body());
        }
        return answer.status() == 200 || answer.status() == 201;
    }

    private Set<String> targets() {
        Set<String> targets = new HashSet<>();
        layout.documents()
                .forEach(document -> document.content()
                        .targets()
                        .forEach(target -> targets.add(target.name().value())));
        return targets;
    }

    private static Set<String> acceptingTargets(JsonNode status) {
        Set<String> accepting = new HashSet<>();
        for (JsonNode companion : status.path("companions")) {
            for (JsonNode target : companion.path("targets")) {
                if (companion.path("connected").asBoolean()
                        && target.path("accepting").asBoolean()) {
                    accepting.add(target.path("target").asText());
                }
            }
        }
        return accepting;
    }

    private void await(String what, BooleanSupplier condition) {
        await(what, condition, () -> "");
    }

    private void await(String what, BooleanSupplier condition, Supplier<String> found) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DEADLINE_SECONDS);
        while (!condition.getAsBoolean()) {
            watch.run();
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException("not within " + DEADLINE_SECONDS + " s: " + what + " " + found.get());
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }
}
