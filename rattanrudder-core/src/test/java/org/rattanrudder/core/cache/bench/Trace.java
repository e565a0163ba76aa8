package org.rattanrudder.core.cache.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.model.Digest;

/** A trace of prompts, ordered by time and drawn from a fixed seed. */
final class Trace {
    static final int HORIZON_SECONDS = 3 * 86_400;
    private static final int CUSTOMERS = 10;
    private static final int SHARED_BLOCKS = 1;
    private static final double LAST_USE_PROBABILITY = 0.05;

    final List<Prompt> prompts = new ArrayList<>();
    final int distinctBlocks;

    Trace(Shape shape, int contexts, long seed) {
        Random random = new Random(seed);
        for (int context = 0; context < contexts; context++) {
            add(shape, context, random);
        }
        prompts.sort(Comparator.comparingLong(Prompt::micros));
        distinctBlocks = setNextUses();
    }

    private void add(Shape shape, int context, Random random) {
        int customer = (int) (CUSTOMERS * Math.pow(random.nextDouble(), 3));
        int blocks = shape.minBlocks() + random.nextInt(shape.maxBlocks() - shape.minBlocks() + 1);
        List<Digest> pieces = new ArrayList<>();
        for (int piece = 0; piece < blocks; piece++) {
            String owner = piece < SHARED_BLOCKS ? "shared" : "context-" + context;
            pieces.add(Digest.of(owner, Integer.toString(piece)));
        }
        PromptShape text = new PromptShape(blocks * Shape.PIECE_TOKENS + random.nextInt(Shape.PIECE_TOKENS), pieces);
        Digest root = Digest.of("customer-" + customer, "service", "v1");
        List<Digest> names = text.blockDigests(root);
        int target = Math.floorMod(names.get(names.size() - 1).second(), shape.targets());
        boolean once = random.nextDouble() < shape.onceShare();
        double logRange = Math.log((double) shape.maxGapSeconds() / shape.minGapSeconds());
        double meanGap = shape.minGapSeconds() * Math.exp(random.nextDouble() * logRange);
        double seconds = 60 + random.nextDouble() * HORIZON_SECONDS;
        while (seconds < HORIZON_SECONDS) {
            prompts.add(new Prompt((long) (seconds * 1e6), customer, target, text, names, (long) (meanGap * 1e6)));
            if (once || random.nextDouble() < LAST_USE_PROBABILITY) {
                return;
            }
            seconds += 60 - meanGap * Math.log(1 - random.nextDouble());
        }
    }

    /** Sets when each block of each prompt is used next; returns the number of distinct blocks. */
    private int setNextUses() {
        Map<Digest, Long> next = new HashMap<>();
        for (int index = prompts.size() - 1; index >= 0; index--) {
            Prompt prompt = prompts.get(index);
            for (int block = 0; block < prompt.names().size(); block++) {
                Long nextUse = next.put(prompt.names().get(block), prompt.micros());
                prompt.nextUseMicros()[block] = nextUse == null ? Long.MAX_VALUE : nextUse;
            }
        }
        return next.size();
    }

    /**
     * One prompt.
     *
     * @param micros when it arrives
     * @param customer its customer
     * @param target the engine that runs it
     * @param text its shape
     * @param names its block names
     * @param meanGapMicros the mean gap from which the next uses of its context are drawn
     * @param nextUseMicros when each block is used next
     */
    record Prompt(
            long micros,
            int customer,
            int target,
            PromptShape text,
            List<Digest> names,
            long meanGapMicros,
            long[] nextUseMicros) {
        Prompt(long micros, int customer, int target, PromptShape text, List<Digest> names, long meanGapMicros) {
            this(micros, customer, target, text, names, meanGapMicros, new long[names.size()]);
        }
    }
}
