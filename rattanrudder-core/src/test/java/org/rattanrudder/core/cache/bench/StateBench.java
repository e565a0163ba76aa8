package org.rattanrudder.core.cache.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.rattanrudder.core.cache.BlockMover;
import org.rattanrudder.core.cache.ContextPrompt;
import org.rattanrudder.core.cache.MoverPolicy;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
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

/** Prints the size of the hints per context and the time of one prompt's decisions, by the number of contexts. */
public final class StateBench {
    private static final int CUSTOMERS = 2_600;
    private static final int BLOCKS = 16;
    private static final int SAMPLES = 20_000;

    private StateBench() {}

    /** Prints the table. */
    public static void main(String[] arguments) {
        System.out.println(
                "| contexts | blocks | bytes of hints | bytes a context | ns a returning prompt, p50 | p99 |");
        System.out.println("| ---: | ---: | ---: | ---: | ---: | ---: |");
        measure(1_000);
        for (int contexts : List.of(250, 2_500, 10_000, 100_000, 320_000)) {
            measure(contexts);
        }
    }

    private static void measure(int contexts) {
        TargetSettings target = target();
        BlockMover mover = new BlockMover(MoverPolicy.DEFAULT, 2 * BLOCKS * contexts, new Random(3));
        mover.updateTarget(document(target), target, 0);
        List<CompanionEffect> effects = new ArrayList<>();
        long now = 10_000_000;
        for (int context = 0; context < contexts; context++) {
            now = run(mover, context, now, effects);
        }
        long bytes = mover.stateBytes();
        mover.handle(new CompanionEvent.CacheEventsReported(target.name(), true, List.of()), now, effects::add);
        Random random = new Random(5);
        long[] nanos = new long[SAMPLES];
        for (int index = 0; index < SAMPLES; index++) {
            int context = random.nextInt(contexts);
            long start = System.nanoTime();
            now = run(mover, context, now, effects);
            nanos[index] = System.nanoTime() - start;
        }
        Arrays.sort(nanos);
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %d | %d | %d | %d |%n",
                contexts,
                contexts * BLOCKS,
                bytes,
                bytes / contexts,
                nanos[SAMPLES / 2],
                nanos[SAMPLES * 99 / 100]);
    }

    /** Runs one prompt: its lookups, which find nothing, its run and the end of its exports. */
    private static long run(BlockMover mover, int context, long now, List<CompanionEffect> effects) {
        ContextPrompt prompt = prompt(context, now);
        mover.prepare(prompt, now, effects::add);
        answer(mover, now, effects);
        mover.onCompleted(prompt, "v1", 20_000, now, effects::add);
        while (!effects.isEmpty()) {
            answer(mover, now, effects);
        }
        return now + 2_000_000;
    }

    private static void answer(BlockMover mover, long now, List<CompanionEffect> effects) {
        List<CompanionEffect> pending = List.copyOf(effects);
        effects.clear();
        for (CompanionEffect effect : pending) {
            if (effect instanceof CompanionEffect.LookUpBlocks lookup) {
                mover.handle(new CompanionEvent.BlockLookupEnded(lookup.lookup(), List.of(), true), now, effects::add);
            } else if (effect instanceof CompanionEffect.ExportBlock export) {
                mover.handle(new CompanionEvent.MoveEnded(export.move(), MoveOutcome.DONE, 0), now, effects::add);
            }
        }
    }

    private static ContextPrompt prompt(int context, long now) {
        List<Digest> pieces = new ArrayList<>();
        for (int piece = 0; piece < BLOCKS; piece++) {
            pieces.add(new Digest(context, piece, 1, 1));
        }
        return new ContextPrompt(
                new AttemptId(1, now, 1),
                new TargetName("target-1"),
                new CustomerName("customer-" + context % CUSTOMERS),
                new ServiceName("service"),
                "v1",
                new PromptShape(BLOCKS * Shape.PIECE_TOKENS, pieces),
                now + 60_000_000);
    }

    private static TargetSettings target() {
        Address address = new Address("10.0.0.1", 9000);
        return new TargetSettings(
                new TargetName("target-1"), address, address, "domain-1", true, false, 1_000_000_000, 8);
    }

    private static ServiceDocument document(TargetSettings target) {
        return new ServiceDocument(
                new ServiceName("service"),
                ServiceKind.PROMPT,
                Optional.of(new ModelSettings("model", "v1", List.of())),
                List.of(target),
                List.of(
                        new StoreSettings("store-a", new Address("10.0.1.1", 9100), "domain-1", 1_000_000_000),
                        new StoreSettings("store-b", new Address("10.0.1.2", 9100), "domain-2", 1_000_000_000)),
                List.of(),
                List.of(),
                List.of(),
                new CacheSettings(
                        CacheSettings.Favour.RECOMPUTE,
                        Shape.PIECE_TOKENS,
                        Shape.BYTES_PER_TOKEN,
                        Shape.PREFILL_TOKENS),
                new LimitSettings(1 << 20, 10, 1000, 60, 0.1));
    }
}
