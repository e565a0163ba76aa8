package org.rattanrudder.standins.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * An engine by its costs: continuous batching with prompts read in chunks between the tokens of others, memory that
 * running requests and cached parts share, parts that are fetched from a store, and preemption when memory runs out.
 */
final class ModelEngine {
    private final VirtualTime time;
    private final EngineCosts costs;
    private final ModelStore store;
    private final int queue;
    private final TreeSet<ModelJob> waiting =
            new TreeSet<>(Comparator.comparingInt(ModelJob::rank).thenComparingLong(ModelJob::number));
    private final List<ModelJob> running = new ArrayList<>();
    private final Map<String, ModelPart> cached = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Integer> pins = new HashMap<>();
    private final Set<String> everRead;
    private long usedTokens;
    private long cachedTokens;
    private long linkFreeAt;
    private long numbers;
    private boolean stepping;
    private boolean dark;
    private OptionalDouble namedLimit = OptionalDouble.empty();
    private OptionalLong restMillis = OptionalLong.empty();
    private long tokensRead;
    private long tokensReadAgain;
    private int preempted;

    /**
     * Makes an engine.
     *
     * @param store where parts are kept for all engines
     * @param queue requests that wait at most
     * @param everRead names of the parts that any engine has read, shared by all
     */
    ModelEngine(VirtualTime time, EngineCosts costs, ModelStore store, int queue, Set<String> everRead) {
        this.time = time;
        this.costs = costs;
        this.store = store;
        this.queue = queue;
        this.everRead = everRead;
    }

    /** Takes a request, or rejects it if too many wait. */
    void take(ModelJob job) {
        if (dark) {
            return;
        }
        if (restMillis.isPresent() || waiting.size() >= queue) {
            job.listener().rejected(restMillis);
            return;
        }
        job.number(numbers++);
        time.after(costs.setupMicros(), () -> enter(job));
    }

    private void enter(ModelJob job) {
        if (dark || job.isCancelled()) {
            return;
        }
        waiting.add(job);
        step();
    }

    /** Drops a request whose caller has left. */
    void cancel(ModelJob job) {
        job.cancel();
        waiting.remove(job);
        if (running.remove(job)) {
            release(job);
        }
    }

    /** Ends or restores its power: all that it worked on is lost, and nobody is told. */
    void power(boolean on) {
        dark = !on;
        waiting.clear();
        running.clear();
        cached.clear();
        pins.clear();
        usedTokens = 0;
        cachedTokens = 0;
        stepping = false;
    }

    /** Turns all further requests away and asks for so much rest; takes them again if empty. */
    void askForRest(OptionalLong millis) {
        restMillis = millis;
    }

    /** Names a rate limit in all further answers; none if empty. */
    void nameLimit(OptionalDouble requestsPerSecond) {
        namedLimit = requestsPerSecond;
    }

    OptionalDouble namedLimit() {
        return namedLimit;
    }

    boolean isDark() {
        return dark;
    }

    private void step() {
        if (stepping || dark) {
            return;
        }
        admit();
        if (running.isEmpty()) {
            return;
        }
        stepping = true;
        Optional<ModelJob> reading =
                running.stream().filter(job -> job.unread() > 0).findFirst();
        int chunk =
                reading.map(job -> Math.min(job.unread(), costs.chunkTokens())).orElse(0);
        time.after(costs.step(running.size(), chunk), () -> stepped(reading, chunk));
    }

    private void stepped(Optional<ModelJob> reading, int chunk) {
        if (dark) {
            return;
        }
        stepping = false;
        for (ModelJob job : List.copyOf(running)) {
            if (job.unread() == 0 && running.contains(job)) {
                makeToken(job);
            }
        }
        reading.filter(running::contains).ifPresent(job -> read(job, chunk));
        step();
    }

    private void read(ModelJob job, int chunk) {
        job.unread(job.unread() - chunk);
        tokensRead += chunk;
        if (job.unread() > 0) {
            return;
        }
        job.shared().forEach(part -> {
            everRead.add(part.id());
            store.save(part, time.micros());
        });
        makeToken(job);
    }

    private void makeToken(ModelJob job) {
        long held = costs.memory(job.ownTokens() + job.made() + 1L);
        if (held > job.heldTokens() && !makeRoom(held - job.heldTokens(), job)) {
            preempt(job);
            return;
        }
        usedTokens += held - job.heldTokens();
        job.hold(held);
        if (job.makeToken()) {
            running.remove(job);
            release(job);
            job.listener().ended();
        }
    }

    private void admit() {
        while (!waiting.isEmpty() && running.size() < costs.slots()) {
            ModelJob next = waiting.first();
            if (!begin(next)) {
                return;
            }
            waiting.remove(next);
        }
    }

    /** Gives a request its memory and begins to read what neither the engine nor the store holds. */
    private boolean begin(ModelJob job) {
        long own = costs.memory(job.ownTokens() + job.made() + 1L);
        List<ModelPart> missing = job.shared().stream()
                .filter(part -> !cached.containsKey(part.id()))
                .toList();
        job.shared().forEach(part -> pins.merge(part.id(), 1, Integer::sum));
        long wanted = own + missing.stream().mapToLong(ModelPart::tokens).sum();
        if (!running.isEmpty() && !makeRoom(wanted, job)) {
            job.shared().forEach(this::unpin);
            return false;
        }
        usedTokens += own;
        job.hold(own);
        int unread = job.ownTokens() + job.made();
        List<ModelPart> fetched = new ArrayList<>();
        for (ModelPart part : job.shared()) {
            boolean kept = cached.get(part.id()) != null;
            boolean stored = !kept && store.holds(part, time.millis());
            if (stored) {
                fetched.add(part);
            }
            unread += kept || stored ? 0 : part.tokens();
            tokensReadAgain += !kept && !stored && everRead.contains(part.id()) ? part.tokens() : 0;
            if (!kept) {
                cached.put(part.id(), part);
                cachedTokens += part.tokens();
            }
        }
        job.unread(unread);
        start(job, fetched);
        return true;
    }

    private void start(ModelJob job, List<ModelPart> fetched) {
        if (fetched.isEmpty()) {
            running.add(job);
            return;
        }
        int tokens = fetched.stream().mapToInt(ModelPart::tokens).sum();
        long came = store.fetched(fetched, time.micros());
        linkFreeAt = Math.max(came, Math.max(linkFreeAt, time.micros()) + costs.fetch(tokens));
        time.after(linkFreeAt - time.micros(), () -> {
            if (!dark && !job.isCancelled()) {
                running.add(job);
                step();
            } else if (!dark) {
                release(job);
            }
        });
    }

    /** Frees cached parts that nobody uses, then the newest of the least urgent requests; false if it isn't enough. */
    private boolean makeRoom(long tokens, ModelJob forWhom) {
        Iterator<ModelPart> oldest = cached.values().iterator();
        while (usedTokens + cachedTokens + tokens > costs.memoryTokens() && oldest.hasNext()) {
            ModelPart part = oldest.next();
            if (pins.getOrDefault(part.id(), 0) == 0) {
                oldest.remove();
                cachedTokens -= part.tokens();
            }
        }
        while (usedTokens + cachedTokens + tokens > costs.memoryTokens()) {
            Optional<ModelJob> victim =
                    running.stream().max(Comparator.comparingInt(ModelJob::rank).thenComparingLong(ModelJob::number));
            boolean yields = victim.isPresent()
                    && victim.get() != forWhom
                    && victim.get().rank() > forWhom.rank();
            if (!yields) {
                return false;
            }
            preempt(victim.get());
        }
        return true;
    }

    private void preempt(ModelJob job) {
        preempted++;
        running.remove(job);
        release(job);
        waiting.add(job);
    }

    private void release(ModelJob job) {
        usedTokens -= job.heldTokens();
        job.hold(0);
        job.shared().forEach(this::unpin);
    }

    private void unpin(ModelPart part) {
        pins.merge(part.id(), -1, Integer::sum);
        if (pins.get(part.id()) <= 0) {
            pins.remove(part.id());
        }
    }

    /** Returns what it has done so far. */
    Work work() {
        return new Work(tokensRead, tokensReadAgain, preempted);
    }

    /** Returns the memory that requests hold now, without cached parts, in tokens. */
    long usedTokens() {
        return usedTokens;
    }

    /** Returns the requests that it works on or that wait there. */
    int requests() {
        return running.size() + waiting.size();
    }

    /** Returns the parts that it keeps. */
    Set<String> kept() {
        return new HashSet<>(cached.keySet());
    }

    /**
     * What an engine has done.
     *
     * @param tokensRead prompt tokens that were read
     * @param tokensReadAgain of shared parts, those that some engine had read before
     * @param preempted requests that lost their memory while they ran
     */
    record Work(long tokensRead, long tokensReadAgain, int preempted) {}
}
