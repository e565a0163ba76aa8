package org.rattanrudder.core.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LinkBudgetTest {
    private static final long BUDGET = 1_000_000;
    private static final long SECOND = 1_000_000;
    /** A document is in force everywhere within this time. */
    private static final long MAX_PROPAGATION_MICROS = 4_000_000;

    /**
     * Companions hold shares of one budget, moves end late, and a new document changes the number of shares, which
     * each companion reads at another time. An exceeded budget would flood the store's link and slow down every
     * fetch over it.
     */
    @Property(seed = "21", tries = 60)
    void allCompanionsTogetherStayWithinTheBudgetInEveryWindow(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        List<Companion> companions = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            companions.add(new Companion(3 + random.nextInt(4)));
        }
        long now = 0;
        int sharers = 6;
        long nextDocument = 10 * SECOND;
        companions.forEach(companion -> companion.budget.updateLimit(BUDGET / 6, 0));
        while (now < 60 * SECOND) {
            now += random.nextInt(20_000);
            if (now >= nextDocument) {
                sharers = sharers == 6 ? 3 : 6;
                for (Companion companion : companions) {
                    companion.applyAt = now + random.nextInt((int) MAX_PROPAGATION_MICROS);
                    companion.sharers = companions.indexOf(companion) < sharers ? sharers : Integer.MAX_VALUE;
                }
                nextDocument = now + 10 * SECOND;
            }
            for (Companion companion : companions) {
                companion.step(now, random);
            }
        }

        List<Move> moves = new ArrayList<>();
        companions.forEach(companion -> moves.addAll(companion.moves));
        assertThat(moves).hasSizeGreaterThan(50);
        assertThat(busiestWindow(moves)).isLessThanOrEqualTo(BUDGET);
    }

    @Test
    void fetchesTakePrecedenceOverExports() {
        LinkBudget budget = budgetInForce();
        budget.addPending(BUDGET / 4);

        assertThat(budget.allowsBackground(BUDGET / 4, 20 * SECOND)).isFalse();
        budget.addPending(-BUDGET / 4);
        assertThat(budget.allowsBackground(BUDGET / 4, 20 * SECOND)).isTrue();
        assertThat(budget.tryAcquire(BUDGET / 4, 20 * SECOND)).isTrue();
        assertThat(budget.tryAcquire(BUDGET / 4, 20 * SECOND)).isTrue();
        assertThat(budget.allowsBackground(BUDGET / 4, 20 * SECOND)).isFalse();
        assertThat(budget.tryAcquire(BUDGET / 2, 20 * SECOND)).isTrue();
    }

    @Test
    void bytesThatWereNotTransferredAreReleasedImmediately() {
        LinkBudget budget = budgetInForce();
        budget.tryAcquire(BUDGET, 20 * SECOND);
        budget.release(BUDGET, BUDGET / 4, 20 * SECOND);

        assertThat(budget.freeBytes(20 * SECOND)).isEqualTo(BUDGET * 3 / 4);
        assertThat(budget.freeBytes(21 * SECOND + 1)).isEqualTo(BUDGET);
    }

    @Test
    void aBlockLargerThanTheBudgetOfOneWindowIsNeverFetched() {
        assertThat(budgetInForce().waitMicros(BUDGET + 1, BUDGET + 1, 20 * SECOND))
                .isEqualTo(Long.MAX_VALUE);
    }

    /**
     * Each document or version report repeats the budget. If that restarted the delay of a raise, an engine's link
     * would stay closed.
     */
    @Test
    void repeatingTheSameBudgetDoesNotPostponeARaise() {
        LinkBudget budget = budgetInForce();
        for (long second = 1; second <= 5; second++) {
            budget.updateLimit(BUDGET, second * SECOND);
        }

        assertThat(budget.limit(5 * SECOND)).isEqualTo(BUDGET);
    }

    private static LinkBudget budgetInForce() {
        return new LinkBudget(BUDGET, 0);
    }

    /**
     * The bytes of a move may be transferred at any time from start to end, so each move that overlaps a window
     * counts in full.
     */
    private static long busiestWindow(List<Move> moves) {
        long busiest = 0;
        for (Move window : moves) {
            long from = window.end;
            long bytes = moves.stream()
                    .filter(move -> move.start <= from + SECOND && move.end >= from)
                    .mapToLong(move -> move.bytes)
                    .sum();
            busiest = Math.max(busiest, bytes);
        }
        return busiest;
    }

    private record Move(long start, long end, long bytes) {}

    private static final class Companion {
        private final LinkBudget budget = new LinkBudget(0, 0);
        private final List<Move> moves = new ArrayList<>();
        private final List<Move> running = new ArrayList<>();
        private final int maxDurationFactor;
        private long applyAt = Long.MAX_VALUE;
        private int sharers;

        Companion(int maxDurationFactor) {
            this.maxDurationFactor = maxDurationFactor;
        }

        void step(long now, Random random) {
            if (now >= applyAt) {
                budget.updateLimit(BUDGET / sharers, now);
                applyAt = Long.MAX_VALUE;
            }
            running.removeIf(move -> end(move, now));
            long bytes = 1 + random.nextInt((int) (BUDGET / 6));
            if (random.nextInt(4) == 0 && budget.tryAcquire(bytes, now)) {
                running.add(new Move(now, now + random.nextInt(maxDurationFactor * 400_000), bytes));
            }
        }

        private boolean end(Move move, long now) {
            if (move.end > now) {
                return false;
            }
            budget.release(move.bytes, move.bytes, now);
            moves.add(new Move(move.start, now, move.bytes));
            return true;
        }
    }
}
