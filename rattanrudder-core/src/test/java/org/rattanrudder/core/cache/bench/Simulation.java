package org.rattanrudder.core.cache.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.rattanrudder.core.cache.BlockMover;
import org.rattanrudder.core.cache.ContextPrompt;
import org.rattanrudder.core.cache.ContextReady;
import org.rattanrudder.core.cache.MoverPolicy;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;
import org.rattanrudder.core.document.CacheSettings;
import org.rattanrudder.core.document.LimitSettings;
import org.rattanrudder.core.document.ModelSettings;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/** Simulates one mover for each engine, two stores, and links at the speed of their budgets, on a virtual clock. */
final class Simulation {
    private static final long TICK_MICROS = 50_000;
    private static final long STORE_LATENCY_MICROS = 2_000;
    private static final long EVENT_DELAY_MICROS = 200_000;
    private static final double EVENT_LOSS_PROBABILITY = 0.0005;

    private final Shape shape;
    private final Outcome outcome = new Outcome();
    private final Random random = new Random(9);
    private final List<BlockMover> movers = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<TargetName> names = new ArrayList<>();
    private final boolean[] ticking;
    private final Map<Address, Map<Digest, StoredBlock>> stores = new LinkedHashMap<>();
    private final int storeBlocks;
    private final Map<AttemptId, Running> waiting = new HashMap<>();
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private long now;
    private long sequence;

    Simulation(Shape shape, int storeBlocks, MoverPolicy policy) {
        this.shape = shape;
        this.storeBlocks = storeBlocks;
        this.ticking = new boolean[shape.targets()];
        ServiceDocument document = document(shape);
        for (TargetSettings target : document.targets()) {
            BlockMover mover = new BlockMover(policy, BlockMover.MAX_CATALOG_BLOCKS, new Random(3));
            mover.updateTarget(document, target, 0);
            movers.add(mover);
            names.add(target.name());
            engines.add(new Engine(shape.engineBlocks()));
        }
        document.stores().forEach(store -> stores.put(store.address(), new HashMap<>()));
    }

    /** Clears a store at a time, as if it had lost its contents and restarted at once. */
    void loseStoreAt(long micros) {
        schedule(micros, () -> stores.values().iterator().next().clear());
    }

    Outcome run(Trace trace) {
        trace.prompts.forEach(prompt -> schedule(prompt.micros(), () -> arrive(prompt)));
        while (!steps.isEmpty()) {
            Step step = steps.poll();
            now = step.micros();
            step.action().run();
        }
        return outcome;
    }

    private void arrive(Trace.Prompt prompt) {
        ContextPrompt context = new ContextPrompt(
                new AttemptId(1, ++sequence, 1),
                names.get(prompt.target()),
                new CustomerName("customer-" + prompt.customer()),
                new ServiceName("service"),
                "v1",
                prompt.text(),
                now + 60_000_000);
        waiting.put(context.attempt(), new Running(prompt, context, now));
        start(movers.get(prompt.target()).prepare(context, now, effect -> perform(prompt.target(), effect)));
        scheduleTick(prompt.target());
    }

    private void start(List<ContextReady> ready) {
        for (ContextReady each : ready) {
            Running running = waiting.remove(each.attempt());
            Trace.Prompt prompt = running.prompt();
            int cached = engines.get(prompt.target()).cached(prompt.names());
            long missing = prompt.text().tokens() - (long) cached * Shape.PIECE_TOKENS;
            long computeMicros = missing * 1_000_000 / Shape.PREFILL_TOKENS;
            outcome.recordRun(prompt.names(), cached, now - running.arrivedMicros() + computeMicros);
            store(prompt.target(), prompt.names());
            schedule(now + computeMicros, () -> end(running));
        }
    }

    private void end(Running running) {
        int target = running.prompt().target();
        movers.get(target)
                .onCompleted(running.context(), "v1", Shape.PREFILL_TOKENS, now, effect -> perform(target, effect));
        scheduleTick(target);
    }

    /**
     * Stores blocks in an engine, and reports the evicted ones to its mover after a delay; some reports are lost.
     */
    private void store(int target, List<Digest> blocks) {
        List<CompanionEvent.CacheEvent> evicted = engines.get(target).store(blocks).stream()
                .map(block -> new CompanionEvent.CacheEvent(block, false))
                .toList();
        boolean lost = random.nextDouble() < EVENT_LOSS_PROBABILITY;
        if (lost || !evicted.isEmpty()) {
            CompanionEvent event =
                    new CompanionEvent.CacheEventsReported(names.get(target), lost, lost ? List.of() : evicted);
            schedule(now + EVENT_DELAY_MICROS, () -> deliver(target, event));
        }
    }

    private void deliver(int target, CompanionEvent event) {
        start(movers.get(target).handle(event, now, effect -> perform(target, effect)));
        scheduleTick(target);
    }

    private void scheduleTick(int target) {
        if (!ticking[target] && !movers.get(target).isIdle()) {
            ticking[target] = true;
            schedule(now + TICK_MICROS, () -> {
                ticking[target] = false;
                deliver(target, new CompanionEvent.Tick());
            });
        }
    }

    private void perform(int target, CompanionEffect effect) {
        if (effect instanceof CompanionEffect.LookUpBlocks lookup) {
            schedule(now + STORE_LATENCY_MICROS, () -> {
                Map<Digest, StoredBlock> store = stores.get(lookup.store());
                List<StoredBlock> found = lookup.blocks().stream()
                        .filter(store::containsKey)
                        .map(store::get)
                        .toList();
                deliver(target, new CompanionEvent.BlockLookupEnded(lookup.lookup(), found, true));
            });
        } else if (effect instanceof CompanionEffect.FetchBlock fetch) {
            schedule(now + transferMicros(), () -> fetched(target, fetch));
        } else if (effect instanceof CompanionEffect.ExportBlock export) {
            boolean full = stores.get(export.store()).size() >= storeBlocks;
            schedule(now + (full ? STORE_LATENCY_MICROS : transferMicros()), () -> exported(target, export));
        } else if (effect instanceof CompanionEffect.DropBlock drop) {
            stores.get(drop.store()).remove(drop.block());
        }
    }

    private void fetched(int target, CompanionEffect.FetchBlock fetch) {
        Digest block = fetch.block().block();
        boolean isStored = fetch.block().equals(stores.get(fetch.store()).get(block));
        if (isStored) {
            store(target, List.of(block));
            outcome.fetchedBytes += Shape.PIECE_BYTES;
        }
        moveEnded(target, fetch.move(), isStored ? MoveOutcome.DONE : MoveOutcome.GONE);
    }

    private void exported(int target, CompanionEffect.ExportBlock export) {
        Map<Digest, StoredBlock> store = stores.get(export.store());
        if (!engines.get(target).holds(export.block())) {
            moveEnded(target, export.move(), MoveOutcome.GONE);
        } else if (store.size() >= storeBlocks) {
            moveEnded(target, export.move(), MoveOutcome.FULL);
        } else {
            store.put(
                    export.block(), new StoredBlock(export.block(), 1, ++sequence, Shape.PIECE_BYTES, export.block()));
            outcome.exportedBytes += Shape.PIECE_BYTES;
            moveEnded(target, export.move(), MoveOutcome.DONE);
        }
    }

    private void moveEnded(int target, long move, MoveOutcome result) {
        deliver(target, new CompanionEvent.MoveEnded(move, result, result == MoveOutcome.DONE ? Shape.PIECE_BYTES : 0));
    }

    private long transferMicros() {
        return STORE_LATENCY_MICROS + Shape.PIECE_BYTES * 1_000_000 / (Shape.STORE_LINK / shape.targets());
    }

    private void schedule(long micros, Runnable action) {
        steps.add(new Step(micros, ++sequence, action));
    }

    private static ServiceDocument document(Shape shape) {
        List<TargetSettings> targets = new ArrayList<>();
        for (int index = 1; index <= shape.targets(); index++) {
            Address address = new Address("10.0.0." + index, 9000);
            TargetName name = new TargetName("target-" + index);
            targets.add(new TargetSettings(name, address, address, "domain-1", true, false, Shape.TARGET_LINK, 8));
        }
        return new ServiceDocument(
                new ServiceName("service"),
                ServiceKind.PROMPT,
                Optional.of(new ModelSettings("model", "v1", List.of())),
                targets,
                List.of(
                        new StoreSettings("store-a", new Address("10.0.1.1", 9100), "domain-1", Shape.STORE_LINK),
                        new StoreSettings("store-b", new Address("10.0.1.2", 9100), "domain-2", Shape.STORE_LINK)),
                List.of(),
                List.of(),
                List.of(),
                new CacheSettings(shape.favour(), Shape.PIECE_TOKENS, Shape.BYTES_PER_TOKEN, Shape.PREFILL_TOKENS),
                new LimitSettings(1 << 20, 10, 1000, 60, 0.1));
    }

    private record Running(Trace.Prompt prompt, ContextPrompt context, long arrivedMicros) {}

    private record Step(long micros, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int compared = Long.compare(micros, other.micros);
            return compared == 0 ? Long.compare(order, other.order) : compared;
        }
    }
}
