package org.rattanrudder.standins.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ModelEngineTest {
    private static final EngineCosts COSTS = new EngineCosts(4, 10_000, 16, 1_000, 3_000, 100, 100, 1_000, 0);
    private static final int MILLI = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final ModelStore store = new ModelStore(0, 1, 500);
    private final ModelEngine engine = new ModelEngine(time, COSTS, store, 2, new HashSet<>());
    private final List<String> told = new ArrayList<>();

    private ModelJob job(String name, int rank, int own, int output, ModelPart... shared) {
        return new ModelJob(List.of(shared), own, output, rank, new ModelJob.Listener() {
            @Override
            public void token(int number) {
                if (number == 1) {
                    told.add(name + " first " + time.micros());
                }
            }

            @Override
            public void ended() {
                told.add(name + " ended " + time.micros());
            }

            @Override
            public void rejected(OptionalLong restMillis) {
                told.add(name + " rejected");
            }
        });
    }

    /** 2,500 tokens are three chunks: 10, 10 and 5 ms of reading, each with a step of 3.1 ms; then a token a step. */
    @Test
    void aPromptIsReadInChunksAndItsTokensFollow() {
        engine.take(job("a", 0, 2_500, 3));
        time.runUntil(1_000 * MILLI);

        assertThat(told).containsExactly("a first 34300", "a ended 40500");
        assertThat(engine.work().tokensRead()).isEqualTo(2_500);
        assertThat(engine.usedTokens()).isZero();
    }

    @Test
    void aSharedPartIsReadOnceAndThenKept() {
        ModelPart part = new ModelPart("context", 2_000);
        engine.take(job("a", 0, 100, 1, part));
        time.runUntil(100 * MILLI);
        engine.take(job("b", 0, 100, 1, part));
        time.runUntil(200 * MILLI);

        assertThat(engine.work().tokensRead()).isEqualTo(2_200);
        assertThat(engine.kept()).containsExactly("context");
        assertThat(engine.work().tokensReadAgain()).isZero();
    }

    /** Another engine has saved the part: it comes over the store's link in 4 ms, in place of 20 ms of reading. */
    @Test
    void aStoredPartIsFetched() {
        ModelPart part = new ModelPart("context", 2_000);
        store.save(part, 0);
        time.runUntil(4 * MILLI);
        engine.take(job("a", 0, 100, 1, part));
        time.runUntil(100 * MILLI);

        assertThat(told.get(0)).isEqualTo("a first 12100");
        assertThat(engine.work().tokensRead()).isEqualTo(100);
    }

    /** Memory runs out in the middle of answers: the least urgent one is thrown out and reads its prompt again. */
    @Test
    void theLeastUrgentIsPreemptedForAMoreUrgentOne() {
        engine.take(job("check", 1, 6_000, 500));
        time.runUntil(100 * MILLI);
        engine.take(job("query", 0, 6_000, 2));
        time.runUntil(4_000 * MILLI);

        assertThat(engine.work().preempted()).isEqualTo(1);
        assertThat(told.stream().map(each -> each.split(" ")[0] + " " + each.split(" ")[1]))
                .containsExactly("check first", "query first", "query ended", "check ended");
        assertThat(engine.work().tokensRead()).isGreaterThan(18_000);
        assertThat(engine.usedTokens()).isZero();
    }

    @Test
    void oneOfTheSameRankWaitsForMemory() {
        engine.take(job("a", 1, 6_000, 10));
        time.runUntil(100 * MILLI);
        engine.take(job("b", 1, 6_000, 1));
        time.runUntil(4_000 * MILLI);

        assertThat(engine.work().preempted()).isZero();
        assertThat(told).hasSize(4);
        assertThat(told.get(1)).startsWith("a ended");
    }

    @Test
    void moreThanTheQueueIsRejected() {
        for (int number = 0; number < 4; number++) {
            engine.take(job("long-" + number, 1, 9_000, 50));
            time.runUntil(time.micros() + 1);
        }

        assertThat(told).containsExactly("long-3 rejected");
    }

    /** Power is lost: nobody hears of what ran, and nothing is kept. */
    @Test
    void withoutPowerNothingIsHeardAndNothingIsKept() {
        engine.take(job("a", 0, 2_500, 3));
        time.runUntil(20 * MILLI);
        engine.power(false);
        engine.take(job("b", 0, 100, 1));
        time.runUntil(1_000 * MILLI);
        engine.power(true);
        engine.take(job("c", 0, 100, 1));
        time.runUntil(2_000 * MILLI);

        assertThat(told).hasSize(2).allMatch(each -> each.startsWith("c "));
        assertThat(engine.requests()).isZero();
    }

    @Test
    void aCancelledRequestFreesItsMemory() {
        ModelJob job = job("a", 0, 5_000, 100);
        engine.take(job);
        time.runUntil(200 * MILLI);
        assertThat(engine.usedTokens()).isPositive();

        engine.cancel(job);

        assertThat(engine.usedTokens()).isZero();
        assertThat(engine.requests()).isZero();
    }
}
