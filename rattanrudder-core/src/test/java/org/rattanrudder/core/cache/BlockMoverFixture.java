package org.rattanrudder.core.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import org.rattanrudder.core.call.PromptShape;
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

/** A mover with one target and two small simulated stores. */
final class BlockMoverFixture {
    static final int PIECE_TOKENS = 2000;
    static final long PIECE_BYTES = 2_000_000;
    static final TargetName TARGET = new TargetName("verdict-1");
    static final long MINUTE = 60_000_000;

    final List<CompanionEffect> effects = new ArrayList<>();
    final List<ContextReady> ready = new ArrayList<>();
    final Map<Address, Map<Digest, StoredBlock>> stores = new LinkedHashMap<>();
    final Map<Address, Integer> capacities = new HashMap<>();
    final BlockMover mover;
    private final ServiceDocument document;
    long now = 10 * MINUTE;
    long stepMicros = 10_000;
    private long sequence;
    private long generation;

    BlockMoverFixture() {
        this(CacheSettings.Favour.RECOMPUTE, 20_000, MoverPolicy.DEFAULT);
    }

    BlockMoverFixture(CacheSettings.Favour favour, long prefillTokensPerSecond, MoverPolicy policy) {
        document = document(favour, prefillTokensPerSecond, 1, 200_000_000);
        mover = new BlockMover(policy, 4096, new Random(5));
        document.stores().forEach(store -> stores.put(store.address(), new LinkedHashMap<>()));
        mover.updateTarget(document, document.targets().get(0), 0);
    }

    static ServiceDocument document(CacheSettings.Favour favour, long prefill, int targets, long linkBytes) {
        List<TargetSettings> all = new ArrayList<>();
        for (int index = 1; index <= targets; index++) {
            Address address = new Address("10.0.0." + index, 9000);
            TargetName name = new TargetName("verdict-" + index);
            all.add(new TargetSettings(name, address, address, "bole-hall", true, false, linkBytes, 8));
        }
        return new ServiceDocument(
                new ServiceName("verdict-llm"),
                ServiceKind.PROMPT,
                Optional.of(new ModelSettings("verdict", "v1", List.of())),
                all,
                List.of(store("store-a", 1, linkBytes), store("store-b", 2, linkBytes)),
                List.of(),
                List.of(),
                List.of(),
                new CacheSettings(favour, PIECE_TOKENS, (int) (PIECE_BYTES / PIECE_TOKENS), prefill),
                new LimitSettings(1 << 20, 10, 1000, 60, 0.1));
    }

    private static StoreSettings store(String name, int host, long linkBytes) {
        return new StoreSettings(name, new Address("10.0.1." + host, 9100), "kality-hall", linkBytes);
    }

    ContextPrompt prompt(String customer, String service, String version, String text, int pieces) {
        List<Digest> digests = new ArrayList<>();
        for (int piece = 0; piece < pieces; piece++) {
            digests.add(Digest.of(text, Integer.toString(piece)));
        }
        return new ContextPrompt(
                new AttemptId(1, ++sequence, 1),
                TARGET,
                new CustomerName(customer),
                new ServiceName(service),
                version,
                new PromptShape(pieces * PIECE_TOKENS + 100, digests),
                now + 30_000_000);
    }

    ContextPrompt prompt(String text, int pieces) {
        return prompt("mine-7", "verdict-llm", "v1", text, pieces);
    }

    void prepare(ContextPrompt prompt) {
        ready.addAll(mover.prepare(prompt, now, effects::add));
    }

    void handle(CompanionEvent event) {
        ready.addAll(mover.handle(event, now, effects::add));
    }

    void tick(long elapsedMicros) {
        now += elapsedMicros;
        handle(new CompanionEvent.Tick());
    }

    void complete(ContextPrompt prompt) {
        mover.onCompleted(prompt, prompt.weightVersion(), 0, now, effects::add);
    }

    /** Runs a prompt with working stores, then evicts all blocks from the engine. */
    void runAndEvict(ContextPrompt prompt) {
        prepare(prompt);
        perform();
        complete(prompt);
        perform();
        evict();
    }

    void evict() {
        handle(new CompanionEvent.CacheEventsReported(TARGET, true, List.of()));
    }

    /** Performs all effects one after the other, as working stores would, until none is left. */
    void perform() {
        for (int round = 0; round < 2000; round++) {
            List<CompanionEffect> now = takeEffects(CompanionEffect.class);
            now.forEach(this::perform);
            if (now.isEmpty()) {
                if (mover.isIdle()) {
                    return;
                }
                tick(50_000);
            }
        }
        throw new AssertionError("the mover doesn't become idle");
    }

    void perform(CompanionEffect effect) {
        now += stepMicros;
        if (effect instanceof CompanionEffect.LookUpBlocks lookup) {
            List<StoredBlock> found = lookup.blocks().stream()
                    .map(stores.get(lookup.store())::get)
                    .filter(Objects::nonNull)
                    .toList();
            handle(new CompanionEvent.BlockLookupEnded(lookup.lookup(), found, true));
        } else if (effect instanceof CompanionEffect.FetchBlock fetch) {
            boolean isStored = fetch.block()
                    .equals(stores.get(fetch.store()).get(fetch.block().block()));
            endMove(fetch.move(), isStored ? MoveOutcome.DONE : MoveOutcome.GONE);
        } else if (effect instanceof CompanionEffect.ExportBlock export) {
            Map<Digest, StoredBlock> store = stores.get(export.store());
            boolean full = store.size() >= capacities.getOrDefault(export.store(), Integer.MAX_VALUE);
            if (!full) {
                store.put(export.block(), stored(export.block()));
            }
            endMove(export.move(), full ? MoveOutcome.FULL : MoveOutcome.DONE);
        } else if (effect instanceof CompanionEffect.DropBlock drop) {
            stores.get(drop.store()).remove(drop.block());
        }
    }

    StoredBlock stored(Digest block) {
        return new StoredBlock(block, 7, ++generation, PIECE_BYTES, Digest.of("content", block.toHex()));
    }

    void endMove(long move, MoveOutcome outcome) {
        long bytes = outcome == MoveOutcome.DONE || outcome == MoveOutcome.CORRUPT ? PIECE_BYTES : 0;
        handle(new CompanionEvent.MoveEnded(move, outcome, bytes));
    }

    /** Returns and removes the pending effects of one type. */
    <F extends CompanionEffect> List<F> takeEffects(Class<F> kind) {
        List<F> removed =
                effects.stream().filter(kind::isInstance).map(kind::cast).toList();
        effects.removeIf(kind::isInstance);
        return removed;
    }
}
