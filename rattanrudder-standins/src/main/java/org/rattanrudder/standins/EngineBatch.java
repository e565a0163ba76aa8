package org.rattanrudder.standins;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.model.Digest;

/**
 * An engine's work, as continuous batching in its simplest form: each step computes a part of one prompt and makes a
 * token of every answer that has begun; requests join and leave between steps.
 */
final class EngineBatch {
    private final EngineSettings settings;
    private final CacheEventLog events;
    private final PrefixCache cache;
    private final PriorityQueue<EngineRun> waiting = new PriorityQueue<>(
            Comparator.<EngineRun>comparingInt(run -> run.prompt().priority()).thenComparingLong(EngineRun::arrival));
    private final List<EngineRun> running = new ArrayList<>();
    private String model;
    private String version;
    private long promptTokens;
    private long computedTokens;
    private boolean closed;

    EngineBatch(EngineSettings settings) {
        this.settings = settings;
        events = new CacheEventLog(settings.eventDelayMillis(), settings.eventGapEvery());
        cache = new PrefixCache(settings.blockCapacity(), events);
        model = settings.model();
        version = settings.version();
        Thread thread = new Thread(this::work, "stand-in-engine");
        thread.setDaemon(true);
        thread.start();
    }

    CacheEventLog events() {
        return events;
    }

    synchronized void add(EngineRun run) {
        waiting.add(run);
        notifyAll();
    }

    synchronized void cancel(EngineRun run) {
        waiting.remove(run);
        if (running.remove(run)) {
            run.release(cache);
        }
        run.end();
    }

    synchronized void close() {
        closed = true;
        waiting.forEach(EngineRun::end);
        running.forEach(EngineRun::end);
        notifyAll();
    }

    /** Swaps the weights: blocks of the old ones are freed, runs that go on keep their own. */
    synchronized void activate(String newModel, String newVersion) {
        model = newModel;
        version = newVersion;
        cache.clear();
    }

    synchronized boolean isActive(String ofModel, String ofVersion) {
        return model.equals(ofModel) && version.equals(ofVersion);
    }

    synchronized EngineState state() {
        return new EngineState(
                running.size(), waiting.size(), version, cache.size(), promptTokens, computedTokens, System.nanoTime());
    }

    /** Returns the active version if it holds the block. */
    synchronized Optional<String> versionHolding(Digest block) {
        return cache.holds(block) ? Optional.of(version) : Optional.empty();
    }

    /** Takes a block in; returns the HTTP status. */
    synchronized int importBlock(Digest block, String ofVersion, boolean corrupt) {
        if (!version.equals(ofVersion)) {
            return 409;
        }
        return cache.store(block, corrupt) ? 204 : 507;
    }

    private void work() {
        for (Optional<Step> step = plan(); step.isPresent(); step = plan()) {
            Pace.waitUntil(
                    System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(step.get().micros()));
            finish(step.get());
        }
    }

    private synchronized Optional<Step> plan() {
        while (running.isEmpty() && waiting.isEmpty() && !closed) {
            try {
                wait();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
        }
        if (closed) {
            return Optional.empty();
        }
        while (running.size() < settings.runningLimit() && !waiting.isEmpty()) {
            begin(waiting.remove());
        }
        List<EngineRun> decoding =
                running.stream().filter(run -> run.tokensToCompute() == 0).toList();
        Optional<EngineRun> prefilling =
                running.stream().filter(run -> run.tokensToCompute() > 0).min(waiting.comparator());
        int tokens = prefilling
                .map(run -> Math.min(run.tokensToCompute(), settings.prefillChunkTokens()))
                .orElse(0);
        long micros =
                tokens * settings.prefillMicrosPerToken() + (decoding.isEmpty() ? 0 : settings.decodeMicrosPerToken());
        return Optional.of(new Step(prefilling, tokens, decoding, micros));
    }

    private void begin(EngineRun run) {
        run.begin(cache, model, version);
        promptTokens += run.prompt().tokens();
        computedTokens += run.tokensToCompute();
        running.add(run);
    }

    private synchronized void finish(Step step) {
        step.decoding().stream().filter(running::contains).forEach(this::makeToken);
        step.prefilling().filter(running::contains).ifPresent(run -> {
            run.computed(step.tokens());
            if (run.tokensToCompute() == 0) {
                run.storeBlocks(cache, version);
                makeToken(run);
            }
        });
    }

    private void makeToken(EngineRun run) {
        if (run.makeToken()) {
            running.remove(run);
            run.release(cache);
        }
    }

    /**
     * What one step does.
     *
     * @param prefilling the request whose prompt is computed
     * @param tokens how many of its tokens
     * @param decoding the requests that get one more token
     * @param micros how long it takes
     */
    private record Step(Optional<EngineRun> prefilling, int tokens, List<EngineRun> decoding, long micros) {}

    /**
     * The state of an engine at one time.
     *
     * @param running requests that run
     * @param waiting requests that wait
     * @param version the active weight version
     * @param cachedBlocks blocks in the prefix cache
     * @param promptTokens tokens of all prompts so far
     * @param computedTokens of these, tokens that were computed
     * @param atNanos when this was so
     */
    record EngineState(
            int running,
            int waiting,
            String version,
            int cachedBlocks,
            long promptTokens,
            long computedTokens,
            long atNanos) {}
}
