package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.model.Digest;

/** One request at an engine, with the events of its answer so far. The batch makes them, readers wait for them. */
final class EngineRun {
    private final EnginePrompt prompt;
    private final long arrival;
    private final List<byte[]> events = new ArrayList<>();
    private List<Digest> pinned = List.of();
    private String model = "";
    private String version = "";
    private boolean corrupt;
    private int cachedTokens;
    private int tokensToCompute;
    private int tokensMade;
    private int readers;
    private boolean ended;
    private long leftNanos = System.nanoTime();

    EngineRun(EnginePrompt prompt, long arrival) {
        this.prompt = prompt;
        this.arrival = arrival;
    }

    EnginePrompt prompt() {
        return prompt;
    }

    long arrival() {
        return arrival;
    }

    /** Begins the run with what the cache holds of its prompt. */
    void begin(PrefixCache cache, String ofModel, String ofVersion) {
        model = ofModel;
        version = ofVersion;
        pinned = cache.held(prompt.blocks());
        cache.pin(pinned);
        corrupt = cache.anyCorrupt(pinned);
        // An engine computes at least the last token, to get the first of the answer.
        cachedTokens = Math.min(pinned.size() * prompt.pieceTokens(), prompt.tokens() - 1);
        tokensToCompute = prompt.tokens() - cachedTokens;
    }

    int cachedTokens() {
        return cachedTokens;
    }

    int tokensToCompute() {
        return tokensToCompute;
    }

    void computed(int tokens) {
        tokensToCompute -= tokens;
    }

    String version() {
        return version;
    }

    /** Stores the blocks of the prompt, now that all of it is computed, if the weights are still the same. */
    void storeBlocks(PrefixCache cache, String activeVersion) {
        if (!version.equals(activeVersion)) {
            return;
        }
        List<Digest> stored = new ArrayList<>(pinned);
        for (Digest name :
                prompt.blocks().subList(pinned.size(), prompt.blocks().size())) {
            if (!cache.store(name, corrupt)) {
                break;
            }
            cache.pin(List.of(name));
            stored.add(name);
        }
        pinned = stored;
    }

    void release(PrefixCache cache) {
        cache.unpin(pinned);
        pinned = List.of();
    }

    /** Makes one token; returns whether it was the last. */
    synchronized boolean makeToken() {
        String content = corrupt ? "corrupt " : prompt.answerToken(tokensMade);
        tokensMade++;
        boolean last = tokensMade >= prompt.answerTokens();
        addEvent(chunk(content, null));
        if (last) {
            ObjectNode usage = Json.object()
                    .put("prompt_tokens", prompt.tokens())
                    .put("completion_tokens", tokensMade)
                    .put("total_tokens", prompt.tokens() + tokensMade);
            usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
            addEvent(chunk("", "length").set("usage", usage));
            events.add("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
            end();
        }
        return last;
    }

    private ObjectNode chunk(String content, String finishReason) {
        ObjectNode chunk = Json.object()
                .put("id", "chatcmpl-" + prompt.requestId())
                .put("object", "chat.completion.chunk")
                .put("created", 0)
                .put("model", model)
                .put("system_fingerprint", version);
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (finishReason == null) {
            delta.put("role", "assistant").put("content", content);
        }
        choice.put("finish_reason", finishReason);
        return chunk;
    }

    private void addEvent(ObjectNode data) {
        String event = "id: " + events.size() + "\ndata: " + Json.text(data) + "\n\n";
        events.add(event.getBytes(StandardCharsets.UTF_8));
        notifyAll();
    }

    /** Ends the answer as it is. */
    synchronized void end() {
        ended = true;
        leftNanos = System.nanoTime();
        notifyAll();
    }

    /** Returns the event of this number, waiting for it; an empty array after the last. */
    synchronized byte[] event(int number) {
        while (number >= events.size() && !ended) {
            try {
                wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return new byte[0];
            }
        }
        return number < events.size() ? events.get(number) : new byte[0];
    }

    synchronized void readerCame() {
        readers++;
    }

    synchronized void readerWent() {
        readers--;
        leftNanos = System.nanoTime();
    }

    /** Returns whether no one has read it for so long. */
    synchronized boolean isAbandoned(long keepMillis) {
        return readers == 0 && System.nanoTime() - leftNanos > TimeUnit.MILLISECONDS.toNanos(keepMillis);
    }

    synchronized boolean hasEnded() {
        return ended;
    }
}
