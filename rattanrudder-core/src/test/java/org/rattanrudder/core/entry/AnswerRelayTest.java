package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.entry.TestDocuments.target;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;

class AnswerRelayTest {
    private final EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
    private final long request = driver.prompt("dossier");
    private final Frame.Dispatch dispatch = driver.lastDispatch();

    /** A word appears twice in an answer: the link was lost after a chunk, and the companion resent the chunk. */
    @Test
    void aDuplicateChunkIsSentToTheCallerOnce() {
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.chunk(dispatch, 1);

        assertThat(driver.deliveredChunks(request)).containsExactly(0, 1);
        assertThat(driver.effectsOf(EntryEffect.BeginAnswer.class)).hasSize(1);
    }

    /** A word is missing from an answer: a chunk was lost, and the following ones were forwarded without it. */
    @Test
    void missingChunksAreRequestedOnceAndLaterChunksAreHeldBack() {
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.chunk(dispatch, 2);
        driver.chunk(dispatch, 3);

        assertThat(driver.deliveredChunks(request)).containsExactly(0);
        assertThat(driver.frames(Frame.Resume.class)).containsExactly(new Frame.Resume(dispatch.attempt(), 100, 1));
    }

    /** An answer is truncated: its end frame arrived before its last chunk. */
    @Test
    void anAnswerEndsOnlyAfterAllItsChunks() {
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.end(dispatch, 2);
        assertThat(driver.effectsOf(EntryEffect.EndAnswer.class)).isEmpty();

        driver.chunk(dispatch, 1);
        driver.end(dispatch, 2);

        assertThat(driver.deliveredChunks(request)).containsExactly(0, 1);
        assertThat(driver.effectsOf(EntryEffect.EndAnswer.class)).hasSize(1);
    }

    @Test
    void chunksThatAreStillMissingAreRequestedAgain() {
        driver.head(dispatch);
        driver.chunk(dispatch, 1);
        driver.end(dispatch, 2);

        driver.advance(RequestDispatcher.RESUME_RETRY_MICROS);

        assertThat(driver.frames(Frame.Resume.class)).hasSize(2);
    }

    /**
     * A caller gets another caller's answer: late frames of an earlier attempt, of an earlier incarnation's request
     * with
     * the same sequence number, or of another request are forwarded.
     */
    @Test
    void framesOfOtherAttemptsAreDropped() {
        driver.head(dispatch);
        AttemptId own = dispatch.attempt();
        for (AttemptId other : List.of(
                own.next(),
                new AttemptId(EntryDriver.INCARNATION + 1, own.sequence(), own.attempt()),
                new AttemptId(EntryDriver.INCARNATION, own.sequence() + 1, own.attempt()))) {
            driver.frame(1, new Frame.AnswerChunk(other, 0, new byte[] {9}));
        }

        assertThat(driver.deliveredChunks(request)).isEmpty();
    }

    /** A companion sends frames with the id of an attempt that was dispatched to another companion. */
    @Test
    void framesFromACompanionThatDoesNotHaveTheAttemptAreDropped() {
        EntryDriver two = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        long moved = two.prompt("dossier");
        two.head(two.lastDispatch());

        two.frame(
                3 - two.lastCompanion(),
                new Frame.AnswerChunk(two.lastDispatch().attempt(), 0, new byte[] {9}));

        assertThat(two.deliveredChunks(moved)).isEmpty();
    }

    /** A frame that was queued in the daemon when its link was closed is delivered afterwards. */
    @Test
    void framesOfAClosedLinkAreDropped() {
        driver.head(dispatch);
        driver.closeLink(1);

        driver.chunk(dispatch, 0);

        assertThat(driver.deliveredChunks(request)).isEmpty();
    }

    /** A slow caller fills the entry's memory: the engine writes faster than the caller reads. */
    @Test
    void writtenChunksAreCreditedToTheCompanion() {
        driver.head(dispatch);
        for (int number = 0; number < 40; number++) {
            driver.chunk(dispatch, number);
        }
        assertThat(driver.frames(Frame.Credit.class)).isEmpty();

        driver.handle(new EntryEvent.ChunksWritten(request, 40));

        assertThat(driver.frames(Frame.Credit.class)).containsExactly(new Frame.Credit(dispatch.attempt(), 40));
    }

    /** A resume resets the companion's window; credit for earlier chunks would enlarge it with each lost link. */
    @Test
    void chunksFromBeforeAResumeEarnNoCredit() {
        driver.head(dispatch);
        for (int number = 0; number < 40; number++) {
            driver.chunk(dispatch, number);
        }
        driver.closeLink(1);
        driver.openLink(1, 100);

        driver.handle(new EntryEvent.ChunksWritten(request, 40));

        assertThat(driver.frames(Frame.Credit.class)).isEmpty();
    }

    /** Differential test: with chunks duplicated, dropped or reordered, the caller gets a prefix of the answer. */
    @Property(seed = "21", tries = 200)
    void theCallerAlwaysGetsAPrefixOfTheAnswer(
            @ForAll List<@IntRange(max = 12) Integer> arrivals, @ForAll @IntRange(max = 12) int length) {
        EntryDriver fresh = EntryDriver.ready(TestDocuments.prompts(target(1)));
        long prompt = fresh.prompt("dossier");
        fresh.head(fresh.lastDispatch());
        int naive = 0;
        for (int number : arrivals) {
            fresh.chunk(fresh.lastDispatch(), number);
            naive += number == naive ? 1 : 0;
        }
        fresh.end(fresh.lastDispatch(), length);

        List<Integer> delivered = fresh.deliveredChunks(prompt);
        assertThat(delivered).hasSize(naive);
        for (int number = 0; number < naive; number++) {
            assertThat(delivered.get(number)).isEqualTo(number);
        }
        assertThat(fresh.effectsOf(EntryEffect.EndAnswer.class)).hasSize(length == naive ? 1 : 0);
    }
}
