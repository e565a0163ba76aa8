package org.rattanrudder.standins.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.cache.LinkBudget;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.load.Answer;
import org.rattanrudder.standins.load.Caller;
import org.rattanrudder.standins.load.CallerClient;
import org.rattanrudder.standins.load.PromptText;

/**
 * The main job: a long prompt; enough others to evict it; the same prompt again; one log entry posted twice with one
 * key, through two entries.
 */
final class MainJob {
    private static final int PIECES = 8;
    private static final int ANSWER_TOKENS = 8;

    private final CallerClient client = new CallerClient();
    private final Layout layout;
    private final StandInSizes sizes;
    private final Layout.Document prompts;
    private final Layout.Document ledger;

    MainJob(Layout layout, StandInSizes sizes) {
        this.layout = layout;
        this.sizes = sizes;
        prompts = layout.document("palivo-llm");
        ledger = layout.document("fuel-ledger");
    }

    /** Runs the job and returns its report; {@code held} says whether all of it held. */
    ObjectNode run() throws InterruptedException {
        // A companion moves no block until its document has had time to reach all others. On a fast machine the whole
        // job would be over by then, with nothing exported and nothing to bring back.
        TimeUnit.MICROSECONDS.sleep(LinkBudget.RAISE_DELAY_MICROS);
        Caller caller = new Caller(client, prompts.credential(0));
        int tokens = PIECES * prompts.content().cache().pieceTokens();
        String text = PromptText.of("shift sheet", tokens);
        Answer first = ask(caller, text);
        boolean othersHeld = evict(caller, tokens);
        long fetchedBefore = bytesReadFromStores();
        Answer again = ask(caller, text);
        long fetched = bytesReadFromStores() - fetchedBefore;
        long entryRuns = postTwice();

        String expected = Caller.expected(text, ANSWER_TOKENS);
        boolean held = othersHeld
                && first.isDone()
                && first.content().equals(expected)
                && again.isDone()
                && again.content().equals(expected)
                && recomputed(again) < recomputed(first)
                && entryRuns == 1;
        ObjectNode report = new ObjectMapper().createObjectNode().put("held", held);
        report.set("first", describe(first));
        report.set("again", describe(again));
        return report.put("bytes_fetched", fetched).put("log_entry_runs", entryRuns);
    }

    private Answer ask(Caller caller, String text) {
        return caller.prompt(layout.entryAddresses().get(0), prompts.service(), "", text, ANSWER_TOKENS)
                .join();
    }

    /** Sends other prompts until every engine has had twice what its cache holds. */
    private boolean evict(Caller caller, int tokens) {
        int engines = prompts.content().targets().size();
        int others = 2 * engines * sizes.engineBlocks() / PIECES;
        List<Address> entries = layout.entryAddresses();
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        boolean held = true;
        for (int other = 0; other < others; other++) {
            String text = PromptText.of("other sheet " + other, tokens);
            answers.add(caller.prompt(entries.get(other % entries.size()), prompts.service(), "", text, ANSWER_TOKENS));
            if (answers.size() == engines) {
                held &= answers.stream().map(CompletableFuture::join).allMatch(Answer::isDone);
                answers.clear();
            }
        }
        return held && answers.stream().map(CompletableFuture::join).allMatch(Answer::isDone);
    }

    private long postTwice() {
        Caller caller = new Caller(client, ledger.credential(0));
        String entry = "{\"bus\": 17, \"litres\": 48, \"run\": " + System.currentTimeMillis() + "}";
        String key = "tanking-" + System.nanoTime();
        List<Address> entries = layout.entryAddresses();
        for (int post = 0; post < 2; post++) {
            caller.keyed(entries.get(post % entries.size()), ledger.service(), "/entries", key, entry)
                    .join();
        }
        long runs = 0;
        for (TargetSettings target : ledger.content().targets()) {
            Answer listed = client.call(target.address(), "GET", "/entries", Map.of(), "");
            for (JsonNode run : listed.json().path("entries")) {
                runs += run.asText().equals(entry) ? 1 : 0;
            }
        }
        return runs;
    }

    private long bytesReadFromStores() {
        return prompts.content().stores().stream()
                .mapToLong(store -> client.call(store.address(), "GET", "/stats", Map.of(), "")
                        .json()
                        .path("read_bytes")
                        .asLong())
                .sum();
    }

    private static double recomputed(Answer answer) {
        int tokens = answer.usage().path("prompt_tokens").asInt();
        return tokens == 0 ? 1 : 1 - (double) answer.cachedTokens() / tokens;
    }

    private static ObjectNode describe(Answer answer) {
        ObjectNode report = new ObjectMapper().createObjectNode();
        report.put("status", answer.status());
        if (!answer.errorKind().isEmpty()) {
            report.put("error", answer.errorKind());
        }
        return report.put("first_token_millis", TimeUnit.NANOSECONDS.toMillis(answer.firstByteNanos()))
                .put("recomputed_share", Math.round(1000 * recomputed(answer)) / 1000.0);
    }
}
