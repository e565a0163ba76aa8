package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.entry.Documents.target;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;

class AnswerRelayTest {
    private final EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1)));
    private final long request = driver.prompt("dossier");
    private final Frame.Dispatch dispatch = driver.lastDispatch();

    /**
     * A verdict reads "not not stable": the link broke after a chunk, and the companion sent it again on the new one.
     */
    @Test
    void aChunkThatComesTwiceReachesTheCallerOnce() {
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.chunk(dispatch, 1);

        assertThat(driver.delivered(request)).containsExactly(0, 1);
        assertThat(driver.all(EntryEffect.BeginAnswer.class)).hasSize(1);
    }

    /** A verdict lacks its "not": a chunk was lost, and the next ones were passed on in its place. */
    @Test
    void missingChunksAreAskedForOnceAndNothingPassesThemMeanwhile() {
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.chunk(dispatch, 2);
        driver.chunk(dispatch, 3);

        assertThat(driver.delivered(request)).containsExactly(0);
        assertThat(driver.frames(Frame.Resume.class)).containsExactly(new Frame.Resume(dispatch.attempt(), 100, 1));
    }

    /** A verdict stops after "stable": its end came although the last chunk hadn't. */
    @Test
    void anAnswerEndsOnlyWhenAllItsChunksAreThere() {
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.end(dispatch, 2);
        assertThat(driver.all(EntryEffect.EndAnswer.class)).isEmpty();

        driver.chunk(dispatch, 1);
        driver.end(dispatch, 2);

        assertThat(driver.delivered(request)).containsExactly(0, 1);
        assertThat(driver.all(EntryEffect.EndAnswer.class)).hasSize(1);
    }

    @Test
    void chunksThatAreStillMissingAreAskedForAgain() {
        driver.head(dispatch);
        driver.chunk(dispatch, 1);
        driver.end(dispatch, 2);

        driver.pass(Attempts.RESUME_AGAIN_MICROS);

        assertThat(driver.frames(Frame.Resume.class)).hasSize(2);
    }

    /**
     * A depot reads another depot's answer: frames of an earlier attempt, of another entry's request with the same
     * number, or from a companion that doesn't have the attempt arrive late.
     */
    @Test
    void framesOfAnythingButThePresentAttemptAreDropped() {
        driver.head(dispatch);
        AttemptId own = dispatch.attempt();
        for (AttemptId other : List.of(
                own.next(),
                new AttemptId(EntryDriver.INCARNATION + 1, own.sequence(), own.attempt()),
                new AttemptId(EntryDriver.INCARNATION, own.sequence() + 1, own.attempt()))) {
            driver.frame(1, new Frame.AnswerChunk(other, 0, new byte[] {9}));
        }

        assertThat(driver.delivered(request)).isEmpty();
    }

    /** The attempt was moved after its first link failed; its first companion, alive after all, names the new one. */
    @Test
    void framesFromACompanionThatDoesNotHaveTheAttemptAreDropped() {
        EntryDriver two = EntryDriver.ready(Documents.prompts(target(1), target(2)));
        long moved = two.prompt("dossier");
        two.head(two.lastDispatch());

        two.frame(
                3 - two.lastCompanion(),
                new Frame.AnswerChunk(two.lastDispatch().attempt(), 0, new byte[] {9}));

        assertThat(two.delivered(moved)).isEmpty();
    }

    /** A frame that was under way when its link was given up as silent comes out of the daemon's queue late. */
    @Test
    void framesOfALinkThatWasGivenUpAreDropped() {
        driver.head(dispatch);
        driver.close(1);

        driver.chunk(dispatch, 0);

        assertThat(driver.delivered(request)).isEmpty();
    }

    /** A clerk on a slow line fills the entry's memory: the engine writes faster than the caller reads. */
    @Test
    void theCompanionMaySendAsManyChunksAsTheCallerTook() {
        driver.head(dispatch);
        for (int number = 0; number < 40; number++) {
            driver.chunk(dispatch, number);
        }
        assertThat(driver.frames(Frame.Credit.class)).isEmpty();

        driver.handle(new EntryEvent.ChunksWritten(request, 40));

        assertThat(driver.frames(Frame.Credit.class)).containsExactly(new Frame.Credit(dispatch.attempt(), 40));
    }

    /** After each break the companion's window begins anew; credit for chunks before it would let it grow each time. */
    @Test
    void chunksFromBeforeAResumeEarnNoCredit() {
        driver.head(dispatch);
        for (int number = 0; number < 40; number++) {
            driver.chunk(dispatch, number);
        }
        driver.close(1);
        driver.open(1, 100);

        driver.handle(new EntryEvent.ChunksWritten(request, 40));

        assertThat(driver.frames(Frame.Credit.class)).isEmpty();
    }

    /** Differential: whatever is doubled, dropped or crossed on the way, the caller gets a prefix of the answer. */
    @Property(seed = "21", tries = 200)
    void theCallerAlwaysHasAPrefixOfTheAnswer(
            @ForAll List<@IntRange(max = 12) Integer> arrivals, @ForAll @IntRange(max = 12) int length) {
        EntryDriver fresh = EntryDriver.ready(Documents.prompts(target(1)));
        long prompt = fresh.prompt("dossier");
        fresh.head(fresh.lastDispatch());
        int naive = 0;
        for (int number : arrivals) {
            fresh.chunk(fresh.lastDispatch(), number);
            naive += number == naive ? 1 : 0;
        }
        fresh.end(fresh.lastDispatch(), length);

        List<Integer> delivered = fresh.delivered(prompt);
        assertThat(delivered).hasSize(naive);
        for (int number = 0; number < naive; number++) {
            assertThat(delivered.get(number)).isEqualTo(number);
        }
        assertThat(fresh.all(EntryEffect.EndAnswer.class)).hasSize(length == naive ? 1 : 0);
    }
}
