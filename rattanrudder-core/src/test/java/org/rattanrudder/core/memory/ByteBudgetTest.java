package org.rattanrudder.core.memory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ByteBudgetTest {
    private static final long CAPACITY = 100_000;

    private final ByteBudget budget = new ByteBudget(CAPACITY);

    /** Fills a use with the holdings of many callers, each of one byte in a thousand of the budget. */
    private void fill(ByteUse use) {
        IntStream.range(0, (int) CAPACITY)
                .mapToObj(number -> budget.holding(use, use + "-" + number))
                .takeWhile(holding -> holding.tryGrow(CAPACITY / 1_000))
                .forEach(holding -> {});
    }

    /** Guards against a process that stops serving small requests since something else fills its memory. */
    @ParameterizedTest
    @EnumSource
    void eachUseGetsItsGuaranteedShareHoweverFullTheOthersAre(ByteUse use) {
        for (ByteUse other : ByteUse.values()) {
            if (other != use) {
                fill(other);
            }
        }
        fill(use);

        assertThat(budget.held(use)).isGreaterThanOrEqualTo((long) (use.guaranteedShare() * CAPACITY) - 200);
        assertThat(budget.held()).isLessThanOrEqualTo(CAPACITY);
    }

    /** Guards against one caller that keeps all others from being served. */
    @ParameterizedTest
    @EnumSource
    void oneCallerLeavesRoomForAnother(ByteUse use) {
        Holding first = budget.holding(use, "first");
        while (first.tryGrow(10)) {
            assertThat(budget.heldBy(use, "first")).isEqualTo(first.bytes());
        }

        assertThat(budget.holding(use, "second").tryGrow(budget.limit(use) / 10))
                .isTrue();
    }

    @Test
    void aCallerMayTakeAllOfAnEmptyUseAtOnce() {
        long all = budget.limit(ByteUse.UPLOAD);

        assertThat(budget.holding(ByteUse.UPLOAD, "only").tryGrow(all + 1)).isFalse();
        assertThat(budget.holding(ByteUse.UPLOAD, "only").tryGrow(all)).isTrue();
    }

    @Test
    void aClosedHoldingTakesNothingAndGivesNothingBackAgain() {
        Holding holding = budget.holding(ByteUse.REQUEST, "caller");
        assertThat(holding.tryGrow(10)).isTrue();

        holding.close();
        holding.close();

        assertThat(holding.tryGrow(1)).isFalse();
        assertThat(budget.held()).isZero();
    }

    /** Guards against bytes that stay counted, or are counted twice, after any order of what happens to requests. */
    @Property(seed = "67", tries = 300)
    void whatIsHeldIsBoundedAndAllGivenBack(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        List<Holding> open = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            int choice = random.nextInt(6);
            if (choice < 2 || open.isEmpty()) {
                ByteUse use = ByteUse.values()[random.nextInt(ByteUse.values().length)];
                open.add(budget.holding(use, "caller-" + random.nextInt(4)));
            } else if (choice < 4) {
                Holding grown = open.get(random.nextInt(open.size()));
                long before = grown.bytes();
                long more = random.nextInt(8_000);
                long room = budget.roomFor(grown.use(), grown.caller());
                assertThat(grown.tryGrow(more)).isEqualTo(more <= room || more == 0);
                assertThat(grown.bytes()).isIn(before, before + more);
            } else if (choice == 4) {
                Holding shrunk = open.get(random.nextInt(open.size()));
                shrunk.shrinkTo(random.nextInt(8_000));
            } else {
                open.remove(random.nextInt(open.size())).close();
            }
            assertThat(budget.held())
                    .isEqualTo(open.stream().mapToLong(Holding::bytes).sum());
            assertThat(budget.held()).isLessThanOrEqualTo(CAPACITY);
            for (ByteUse use : ByteUse.values()) {
                assertThat(budget.held(use)).isLessThanOrEqualTo(budget.largest(use));
            }
        }
        open.forEach(Holding::close);

        assertThat(budget.held()).isZero();
    }
}
