package org.rattanrudder.core.bench;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.companion.CompanionDriver;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;

/**
 * Measures the memory and time that each queued attempt, running attempt and tombstone costs a companion, at several
 * sizes.
 */
final class CompanionSlopesBench {
    private static final int[] SIZES = {1_000, 4_000, 16_000};
    private static final int WARM_UP_SIZE = 16_000;
    private static final int ROUNDS = 5;
    private static final int TICKS = 40;
    private static final int CHUNKS = 100_000;
    private static final long FAR_DEADLINE_MICROS = 1_000_000_000_000_000L;

    private CompanionSlopesBench() {}

    /** Prints the table. */
    public static void main(String[] arguments) {
        for (int round = 0; round < ROUNDS; round++) {
            measure(WARM_UP_SIZE, 1);
            measure(WARM_UP_SIZE, WARM_UP_SIZE);
            measureTombstones(WARM_UP_SIZE);
        }
        System.out.println(
                "| what | how many | bytes each | dispatch (us each) | tick (us) | doubled dispatch (us each) "
                        + "| chunk with its credit (us each) |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (int size : SIZES) {
            print("queued attempt", size, median(() -> measure(size, 1)));
        }
        for (int size : SIZES) {
            print("running attempt", size, median(() -> measure(size, size)));
        }
        for (int size : SIZES) {
            print("tombstone", size, median(() -> measureTombstones(size)));
        }
    }

    private record Costs(
            double bytes,
            double dispatchMicros,
            double tickMicros,
            double duplicateDispatchMicros,
            double chunkMicros) {}

    /** Returns the median of five rounds for each cost, to reduce the influence of other load on the machine. */
    private static Costs median(Supplier<Costs> measurement) {
        List<Costs> rounds = Stream.generate(measurement).limit(ROUNDS).toList();
        return new Costs(
                medianOf(rounds, Costs::bytes),
                medianOf(rounds, Costs::dispatchMicros),
                medianOf(rounds, Costs::tickMicros),
                medianOf(rounds, Costs::duplicateDispatchMicros),
                medianOf(rounds, Costs::chunkMicros));
    }

    private static double medianOf(List<Costs> rounds, ToDoubleFunction<Costs> cost) {
        return rounds.stream().mapToDouble(cost).sorted().toArray()[ROUNDS / 2];
    }

    private static Costs measure(int size, int concurrency) {
        CompanionDriver companion = companion(concurrency);
        long before = usedBytes();
        double dispatch = dispatch(companion, size);
        companion.effects.clear();
        long after = usedBytes();
        return new Costs(
                (double) (after - before) / size,
                dispatch,
                tick(companion),
                dispatch(companion, size),
                chunk(companion, Math.min(size, concurrency)));
    }

    private static Costs measureTombstones(int size) {
        CompanionDriver companion = companion(1);
        long before = usedBytes();
        double dispatch = 0;
        for (int sequence = 1; sequence <= size; sequence++) {
            long start = System.nanoTime();
            companion.frame(1, dispatch(sequence));
            dispatch += System.nanoTime() - start;
            companion.handle(new CompanionEvent.TargetFailed(CompanionDriver.id(sequence), true, ""));
            companion.effects.clear();
        }
        long after = usedBytes();
        double duplicateDispatch = dispatch(companion, size);
        companion.effects.clear();
        return new Costs(
                (double) (after - before) / size, dispatch / 1e3 / size, tick(companion), duplicateDispatch, 0);
    }

    private static CompanionDriver companion(int concurrency) {
        CompanionDriver companion = new CompanionDriver();
        companion.publish(CompanionDriver.document(CompanionDriver.PROMPTS, concurrency, 2 * WARM_UP_SIZE, false));
        companion.reportVersion("v1");
        companion.openLink(1);
        companion.effects.clear();
        return companion;
    }

    private static double dispatch(CompanionDriver companion, int size) {
        long start = System.nanoTime();
        for (int sequence = 1; sequence <= size; sequence++) {
            companion.frame(1, dispatch(sequence));
            companion.effects.clear();
        }
        return (System.nanoTime() - start) / 1e3 / size;
    }

    private static double tick(CompanionDriver companion) {
        long start = System.nanoTime();
        for (int tick = 0; tick < TICKS; tick++) {
            companion.handle(new CompanionEvent.Tick());
        }
        return (System.nanoTime() - start) / 1e3 / TICKS;
    }

    /** Returns the cost of relaying a chunk and handling the credit for it. */
    private static double chunk(CompanionDriver companion, int running) {
        byte[] bytes = new byte[64];
        long start = System.nanoTime();
        for (int number = 0; number < CHUNKS; number++) {
            AttemptId attempt = CompanionDriver.id(1 + number % running);
            companion.handle(new CompanionEvent.TargetChunk(attempt, bytes, "v1"));
            companion.frame(1, new Frame.Credit(attempt, 1));
            companion.effects.clear();
        }
        return (System.nanoTime() - start) / 1e3 / CHUNKS;
    }

    /**
     * Returns a dispatch without body and prompt shape and with a distant deadline, so that only the attempt itself
     * is measured.
     */
    private static Frame.Dispatch dispatch(long sequence) {
        Frame.Dispatch prompt = CompanionDriver.prompt(sequence);
        return new Frame.Dispatch(
                prompt.attempt(),
                prompt.companionIncarnation(),
                prompt.target(),
                prompt.service(),
                prompt.customer(),
                prompt.requestClass(),
                prompt.priority(),
                FAR_DEADLINE_MICROS,
                prompt.weightVersion(),
                Optional.empty(),
                true,
                prompt.call(),
                PromptShape.NONE);
    }

    private static long usedBytes() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void print(String what, int size, Costs costs) {
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %.0f | %.2f | %.0f | %.2f | %.2f |%n",
                what,
                size,
                costs.bytes(),
                costs.dispatchMicros(),
                costs.tickMicros(),
                costs.duplicateDispatchMicros(),
                costs.chunkMicros());
    }
}
