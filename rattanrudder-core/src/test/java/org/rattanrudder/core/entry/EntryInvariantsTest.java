package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.RunState;

/** Tests invariants of {@link EntryMachine} under random sequences of events. */
class EntryInvariantsTest {
    @Property(seed = "51", tries = 300)
    void noDispatchGoesToAStaleDrainingLeavingOrUnknownTarget(@ForAll long seed) {
        assertThat(new EntryChaos(seed).run().wrongDispatches).isEmpty();
    }

    @Property(seed = "52", tries = 300)
    void everyRequestEndsExactlyOnce(@ForAll long seed) {
        EntryDriver driver = new EntryChaos(seed).run().driver;
        Map<String, Integer> ends = new HashMap<>();
        driver.effectsOf(EntryEffect.RequestEnded.class)
                .forEach(ended -> ends.merge(ended.summary().requestId(), 1, Integer::sum));

        assertThat(ends.values()).allMatch(count -> count == 1);
        for (Frame.Dispatch dispatch : driver.dispatches()) {
            assertThat(ends).containsKey(dispatch.attempt().requestId());
        }
    }

    /** A call that may run at most once is retried only after its companion proved that it didn't run. */
    @Property(seed = "53", tries = 300)
    void anAtMostOnceCallIsRetriedOnlyAfterProofThatItDidNotRun(@ForAll long seed) {
        EntryChaos chaos = new EntryChaos(seed).run();
        for (Frame.Dispatch dispatch : chaos.driver.dispatches()) {
            if (dispatch.idempotent() || dispatch.attempt().attempt() == 1) {
                continue;
            }
            assertThat(chaos.notRun.keySet())
                    .anyMatch(id -> id.sequence() == dispatch.attempt().sequence()
                            && id.attempt() == dispatch.attempt().attempt() - 1);
        }
    }

    /** A refusal claims "not run" only if each attempt of the request was refused by its companion. */
    @Property(seed = "54", tries = 300)
    void aRefusalThatSaysNotRunIsTrue(@ForAll long seed) {
        EntryChaos chaos = new EntryChaos(seed).run();
        for (EntryEffect.Refuse refuse : chaos.driver.effectsOf(EntryEffect.Refuse.class)) {
            if (refuse.refusal().kind().runState() == RunState.NOT_RUN) {
                assertThat(chaos.driver.dispatches().stream()
                                .filter(dispatch -> dispatch.attempt().sequence() == refuse.sequence())
                                .map(Frame.Dispatch::attempt))
                        .allMatch(chaos.notRun::containsKey);
            }
        }
    }

    /** An answer never mixes two runs: all chunks that a caller gets are of one attempt. */
    @Property(seed = "55", tries = 300)
    void aCallerGetsChunksOfOneAttemptOnly(@ForAll long seed) {
        EntryDriver driver = new EntryChaos(seed).run().driver;
        Map<Long, Byte> attempts = new HashMap<>();
        for (EntryEffect.SendChunk chunk : driver.effectsOf(EntryEffect.SendChunk.class)) {
            assertThat(chunk.bytes()[0]).isEqualTo((byte) chunk.sequence());
            assertThat(attempts.merge(chunk.sequence(), chunk.bytes()[1], (first, next) -> first))
                    .isEqualTo(chunk.bytes()[1]);
        }
    }

    /** Charged retries never exceed the initial retries and those that first attempts earned. */
    @Property(seed = "56", tries = 300)
    void retriesStayWithinTheirBudget(@ForAll long seed) {
        EntryChaos chaos = new EntryChaos(seed).run();
        List<Frame.Dispatch> dispatches = chaos.driver.dispatches();
        for (boolean prompts : new boolean[] {true, false}) {
            long firsts = 0;
            long charged = 0;
            for (Frame.Dispatch dispatch : dispatches) {
                if (dispatch.idempotent() != prompts) {
                    continue;
                }
                firsts += dispatch.attempt().attempt() == 1 ? 1 : 0;
                charged += dispatch.attempt().attempt() > 1 && !isUncharged(chaos, dispatch) ? 1 : 0;
            }
            assertThat((double) charged).isLessThanOrEqualTo(RetryBudget.INITIAL_RETRIES + 0.1 * firsts);
        }
    }

    private static boolean isUncharged(EntryChaos chaos, Frame.Dispatch dispatch) {
        return chaos.notRun.entrySet().stream()
                .anyMatch(each -> each.getValue() == ErrorKind.DRAINING
                        && each.getKey().sequence() == dispatch.attempt().sequence()
                        && each.getKey().attempt() == dispatch.attempt().attempt() - 1);
    }

    @Property(seed = "57", tries = 50)
    void theSameEventsGiveTheSameEffects(@ForAll long seed) {
        assertThat(new EntryChaos(seed).run().effects())
                .isEqualTo(new EntryChaos(seed).run().effects());
    }
}
