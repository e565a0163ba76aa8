package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.standins.EngineBatch.EngineState;

/**
 * Stands in for a model engine: continuous batching, a limited prefix cache, streams that can be resumed and cancelled,
 * export and import of cache blocks, orders. Its answers name the prompt and the number of each token, so that a
 * crossed, spliced or doubled answer shows; an answer from a damaged block says {@code corrupt}.
 *
 * <p>Options: see {@link EngineSettings}.
 */
public final class EngineStandIn implements StandIn {
    private static final ScheduledExecutorService CLOCK = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task, "stand-in-clock");
        thread.setDaemon(true);
        return thread;
    });

    private final EngineSettings settings;
    private final EngineBatch batch;
    private final WeightLoader loader;
    private final StandInServer server;
    private final Map<String, EngineRun> runs = new ConcurrentHashMap<>();
    private final AtomicLong arrivals = new AtomicLong();
    private final ScheduledFuture<?> upkeep;
    private volatile EngineState reported;
    private volatile int pieceTokens;
    private volatile long lastArrivalNanos;

    /** Starts an engine at the address. */
    public EngineStandIn(InetSocketAddress listen, Options options) {
        settings = EngineSettings.of(options);
        batch = new EngineBatch(settings);
        loader = new WeightLoader(settings, batch);
        reported = batch.state();
        pieceTokens = settings.pieceTokens();
        server = new StandInServer(listen, this::answer, path -> path.startsWith("/cache/blocks/"), false);
        upkeep = CLOCK.scheduleAtFixedRate(
                this::keepUp, settings.loadLagMillis(), Math.max(1, settings.loadLagMillis()), TimeUnit.MILLISECONDS);
    }

    @Override
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        upkeep.cancel(false);
        batch.close();
        server.close();
    }

    /** Returns the content of the whole answer to a prompt text; see {@code docs/PROTOCOLS.md} for the text. */
    public static String answerTo(byte[] promptText, int answerTokens) {
        String name = Digest.of(promptText).toHex().substring(0, 8);
        StringBuilder answer = new StringBuilder();
        for (int number = 0; number < answerTokens; number++) {
            answer.append(name).append(':').append(number).append(' ');
        }
        return answer.toString();
    }

    /** Returns how many requests it has taken. */
    public long arrivals() {
        return arrivals.get();
    }

    /** Returns when it took the last request, as a time of {@link System#nanoTime()}. */
    public long lastArrivalNanos() {
        return lastArrivalNanos;
    }

    /** Returns the requests that it runs now, without the lag of its load report. */
    public int running() {
        return batch.state().running();
    }

    /** Returns the weight versions that the orders it took asked for, in the order in which they came. */
    public List<String> orderedVersions() {
        return loader.versions();
    }

    private void keepUp() {
        reported = batch.state();
        runs.forEach((id, run) -> {
            if (run.isAbandoned(settings.keepMillis())) {
                batch.cancel(run);
                runs.remove(id);
            }
        });
    }

    private Reply answer(StandInCall call) {
        if (call.is("POST", "/v1/chat/completions")) {
            return complete(EnginePrompt.of(call.json(), "engine-" + arrivals.get(), settings.pieceTokens()));
        }
        if (call.isUnder("DELETE", "/v1/requests/")) {
            return cancel(call.segments().get(2));
        }
        if (call.isUnder("GET", "/v1/requests/")) {
            return resume(call.segments().get(2), (int) call.query("from", 0));
        }
        if (call.isUnder("GET", "/cache/blocks/")) {
            return export(Digest.fromHex(call.segments().get(2)));
        }
        if (call.isUnder("PUT", "/cache/blocks/")) {
            return importBlock(call);
        }
        return report(call);
    }

    private Reply report(StandInCall call) {
        if (call.is("GET", "/load")) {
            return load();
        }
        if (call.is("GET", "/cache/events")) {
            return batch.events().report(call.query("after", 0));
        }
        if (call.is("POST", "/orders")) {
            return loader.order(call.json());
        }
        if (call.is("GET", "/orders/last")) {
            return loader.last();
        }
        return call.is("GET", "/stats") ? stats() : Reply.error(404, "no such path");
    }

    private Reply complete(EnginePrompt prompt) {
        if (server.faults().isFull()) {
            return Reply.error(503, "full");
        }
        pieceTokens = prompt.pieceTokens();
        lastArrivalNanos = System.nanoTime();
        EngineRun run = new EngineRun(prompt, arrivals.getAndIncrement());
        if (runs.putIfAbsent(prompt.requestId(), run) != null) {
            return Reply.error(409, "this request_id is taken");
        }
        batch.add(run);
        return prompt.streamed() ? Reply.events(sink -> stream(run, 0, sink)) : whole(run);
    }

    private void stream(EngineRun run, int from, Reply.Sink sink) throws IOException {
        run.readerCame();
        try {
            int next = from;
            for (byte[] event = run.event(next); event.length > 0; event = run.event(next)) {
                sink.send(event);
                next++;
            }
        } finally {
            run.readerWent();
        }
    }

    private static Reply whole(EngineRun run) {
        StringBuilder content = new StringBuilder();
        for (int number = 0; number < run.prompt().answerTokens(); number++) {
            run.event(number);
            content.append(run.prompt().answerToken(number));
        }
        ObjectNode answer = Json.object()
                .put("id", "chatcmpl-" + run.prompt().requestId())
                .put("object", "chat.completion")
                .put("system_fingerprint", run.version());
        ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", content.toString());
        choice.put("finish_reason", "length");
        return Reply.json(200, answer);
    }

    private Reply cancel(String id) {
        EngineRun run = runs.remove(id);
        if (run == null) {
            return Reply.error(404, "no such request");
        }
        batch.cancel(run);
        return Reply.empty(204);
    }

    private Reply resume(String id, int from) {
        EngineRun run = runs.get(id);
        return run == null ? Reply.error(404, "no such request") : Reply.events(sink -> stream(run, from, sink));
    }

    private Reply export(Digest block) {
        String version = batch.versionHolding(block).orElse("");
        if (version.isEmpty()) {
            return Reply.error(404, "no such block");
        }
        byte[] content = content(block, version, pieceTokens * settings.bytesPerToken());
        Map<String, String> headers = Map.of(
                "Weight-Version",
                version,
                "Content-Digest",
                "sha-256=" + Digest.of(content).toHex());
        return Reply.bytes(200, headers, content);
    }

    private Reply importBlock(StandInCall call) {
        if (server.faults().isFull()) {
            return Reply.error(507, "full");
        }
        Digest block = Digest.fromHex(call.segments().get(2));
        String version = call.header("Weight-Version");
        boolean corrupt = !Arrays.equals(call.body(), content(block, version, call.body().length));
        return Reply.empty(batch.importBlock(block, version, corrupt));
    }

    /** Returns the bytes that a block has under a weight version: drawn from both, so that any other block shows. */
    private static byte[] content(Digest block, String version, int length) {
        byte[] content = new byte[length];
        new Random(block.first() ^ version.hashCode() ^ ((long) length << Integer.SIZE)).nextBytes(content);
        return content;
    }

    private Reply load() {
        EngineState state = reported;
        return Reply.json(
                200,
                Json.object()
                        .put("running", state.running())
                        .put("waiting", state.waiting())
                        .put("weight_version", state.version())
                        .put("age_millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - state.atNanos()))
                        .put("cached_blocks", state.cachedBlocks())
                        .put("block_capacity", settings.blockCapacity()));
    }

    private Reply stats() {
        EngineState state = batch.state();
        ObjectNode report = Json.object()
                .put("requests", arrivals.get())
                .put("prompt_tokens", state.promptTokens())
                .put("computed_tokens", state.computedTokens());
        return Reply.json(200, server.meter().addTo(report));
    }
}
