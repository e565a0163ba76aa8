package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.companion.CompanionDriver.INCARNATION;
import static org.rattanrudder.core.companion.CompanionDriver.append;
import static org.rattanrudder.core.companion.CompanionDriver.id;
import static org.rattanrudder.core.companion.CompanionDriver.prompt;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.ErrorKind;

class CompanionStreamsTest {
    private final CompanionDriver companion = CompanionDriver.ready();

    /**
     * A clerk's answer stops in the middle: the entry's connection went silent for good while new ones work. The entry
     * opens another and names the first chunk that it lacks; nothing may be missing or come twice.
     */
    @Test
    void aStreamGoesOnOverANewLinkAtTheNextChunk() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a", "b", "c");
        companion.openLink(2);
        companion.chunk(1, "d", "v1");
        companion.frame(2, new Frame.Resume(id(1), INCARNATION, 1));
        companion.chunk(1, "e", "v1");
        companion.end(1);

        assertThat(companion.all(CompanionEffect.CloseLink.class)).containsExactly(new CompanionEffect.CloseLink(1));
        assertThat(companion.sent(2, Frame.AnswerHead.class)).hasSize(1);
        assertThat(numbers(2)).containsExactly(1L, 2L, 3L, 4L);
        assertThat(companion.sent(2, Frame.AnswerEnd.class))
                .extracting(Frame.AnswerEnd::chunks)
                .containsExactly(5L);
    }

    @Test
    void theEndOfAnAnswerThatWasLostWithItsLinkIsSentAgain() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a");
        companion.end(1);
        companion.handle(new CompanionEvent.LinkClosed(1));
        companion.pass(4_000);
        companion.openLink(2);
        companion.frame(2, new Frame.Resume(id(1), INCARNATION, 1));

        assertThat(companion.sent(2, Frame.AnswerEnd.class)).hasSize(1);
        assertThat(numbers(2)).isEmpty();
    }

    /**
     * After some changes of links an answer stops for good: each link took credits with it that never arrived, until
     * the window was used up though the caller waits.
     */
    @Test
    void creditsLostWithALinkDoNotStopTheStream() {
        companion.frame(1, prompt(1));
        int chunk = 0;
        for (long link = 2; link <= 4; link++) {
            for (int more = 0; more < CompanionEffect.INITIAL_WINDOW_CHUNKS; more++, chunk++) {
                companion.chunk(1, "x", "v1");
            }
            companion.openLink(link);
            companion.effects.clear();
            companion.frame(link, new Frame.Resume(id(1), INCARNATION, chunk));
            assertThat(companion.all(CompanionEffect.ReadMore.class))
                    .containsExactly(new CompanionEffect.ReadMore(id(1), CompanionEffect.INITIAL_WINDOW_CHUNKS));
        }
    }

    @Test
    void whatTheEntryHasConfirmedIsNotKeptAndAResumeBeforeItSaysUnknown() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a", "b", "c");
        companion.frame(1, new Frame.Credit(id(1), 2));
        companion.openLink(2);
        companion.frame(2, new Frame.Resume(id(1), INCARNATION, 1));

        assertThat(numbers(2)).isEmpty();
        assertThat(failures(2)).containsExactly(ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * The connection to the engine breaks in mid-stream. An engine that keeps the stream goes on with it; one that
     * doesn't leaves the caller with a clear end at once, and never with a second answer joined to half of the first.
     */
    @Test
    void anEnginesStreamIsTakenUpAtTheNextChunkOnceAndThenFails() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a", "b");
        companion.handle(new CompanionEvent.TargetFailed(id(1), false, "reset"));
        assertThat(companion.all(CompanionEffect.ResumePrompt.class))
                .extracting(CompanionEffect.ResumePrompt::fromChunk)
                .containsExactly(2L);

        companion.handle(new CompanionEvent.TargetFailed(id(1), false, "404"));
        assertThat(failures(1)).containsExactly(ErrorKind.TARGET_FAILED);
        assertThat(companion.called()).hasSize(1);
    }

    /**
     * A driver is charged twice: the connection to the ledger breaks after the entry may have been taken, and the call
     * is tried again.
     */
    @Test
    void aPlainCallThatMayHaveArrivedIsUnknownAndNeverTriedAgain() {
        companion.frame(1, append(1));
        companion.handle(new CompanionEvent.TargetFailed(id(1), false, "reset"));
        companion.frame(1, append(1));

        assertThat(failures(1)).containsExactly(ErrorKind.TARGET_FAILED);
        assertThat(companion.called()).containsExactly(id(1));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void anAnswerOfAnotherWeightVersionThanAdmittedIsBrokenOff(int chunksBefore) {
        companion.frame(1, prompt(1));
        companion.answer(1, chunksBefore == 0 ? new String[0] : new String[] {"half"});
        companion.chunk(1, "other half", "v2");
        companion.chunk(1, "more", "v2");

        assertThat(numbers(1)).hasSize(chunksBefore);
        assertThat(failures(1)).containsExactly(ErrorKind.TARGET_FAILED);
        assertThat(companion.all(CompanionEffect.CancelCall.class)).hasSize(1);
    }

    @Test
    void aSwapHandsBackWhatWaitsAndLetsFinishWhatRunsOnItsOwnVersion() {
        for (int sequence = 1; sequence <= 3; sequence++) {
            companion.frame(1, prompt(sequence));
        }
        companion.reportVersion("v2");
        companion.frame(1, prompt(4));
        companion.answer(1, "a");
        companion.end(1);

        assertThat(refusals(1)).containsExactly(ErrorKind.VERSION_CHANGED, ErrorKind.VERSION_CHANGED);
        assertThat(companion.sent(1, Frame.AnswerEnd.class)).hasSize(1);
    }

    @Test
    void aLinkThatBringsNothingForThreeSecondsIsClosedAndItsFramesAreDropped() {
        companion.pass(2_900);
        assertThat(companion.all(CompanionEffect.CloseLink.class)).isEmpty();
        companion.pass(100);
        companion.frame(1, append(1));

        assertThat(companion.all(CompanionEffect.CloseLink.class)).containsExactly(new CompanionEffect.CloseLink(1));
        assertThat(companion.called()).isEmpty();
    }

    /**
     * An entry dies. Its prompts would hold places for answers that nobody reads; but a log entry that is being taken
     * is left to finish, since stopping it half-way undoes nothing.
     */
    @Test
    void anEntryThatStaysAwayLosesItsPromptsButNotItsAppends() {
        companion.frame(1, prompt(1));
        for (int sequence = 2; sequence <= 4; sequence++) {
            companion.frame(1, append(sequence));
        }
        companion.handle(new CompanionEvent.LinkClosed(1));
        companion.pass(1_500);
        companion.answer(1, "a");
        companion.answer(2);
        companion.answer(3);
        companion.pass(1_900);
        companion.answer(2, "b");
        companion.answer(3, "b");
        companion.pass(1_600);

        assertThat(companion.all(CompanionEffect.CancelCall.class))
                .containsExactly(new CompanionEffect.CancelCall(id(1)));
        companion.end(2);
        assertThat(companion.called()).containsExactly(id(1), id(2), id(3));
    }

    /** A clerk waits for an engine that has died without a sign. */
    @Test
    void aTargetThatMakesNoProgressIsSaidToBeSilentButASlowCallerIsNot() {
        companion.frame(1, prompt(1));
        companion.frame(1, prompt(2));
        LongStream.range(0, CompanionEffect.INITIAL_WINDOW_CHUNKS).forEach(chunk -> companion.chunk(2, "x", "v1"));
        companion.pass(1_950, 1);
        assertThat(failures(1)).isEmpty();
        companion.pass(50, 1);

        assertThat(companion.sent(1, Frame.AnswerFailed.class)).singleElement().satisfies(failed -> {
            assertThat(failed.attempt()).isEqualTo(id(1));
            assertThat(failed.refusal().kind()).isEqualTo(ErrorKind.TARGET_SILENT);
        });
    }

    /**
     * Every answer that runs ends as failed at one moment: the companion was frozen for some seconds, and by its clock
     * all targets and links had been silent, though their frames were waiting to be read.
     */
    @Test
    void whatArrivesRightAfterAPauseOfTheProcessIsReadBeforeSilenceIsJudged() {
        companion.frame(1, prompt(1));
        companion.frame(1, prompt(2));
        companion.pass(100, 1);
        companion.freeze(10_000);
        companion.handle(new CompanionEvent.Tick());
        companion.chunk(1, "a", "v1");
        companion.pass(1_500, 1);

        assertThat(companion.all(CompanionEffect.CloseLink.class)).isEmpty();
        assertThat(companion.sent(1, Frame.AnswerFailed.class))
                .extracting(Frame.AnswerFailed::attempt)
                .containsExactly(id(2));
    }

    @Test
    void anEngineThatReportsNoVersionGetsNoWork() {
        companion.reportVersion("");
        companion.pass(1_000, 1);
        companion.effects.clear();
        companion.frame(1, CompanionDriver.promptFor(1, ""));
        companion.pass(1_000, 1);

        assertThat(refusals(1)).containsExactly(ErrorKind.VERSION_CHANGED);
        assertThat(companion.sent(1, Frame.Heartbeat.class))
                .allSatisfy(beat -> assertThat(beat.targets())
                        .anyMatch(state -> state.target().equals(CompanionDriver.ENGINE) && !state.accepting()));
    }

    /**
     * A dispatch was lost with its link, or is held up on the way. The entry is told "not run" and goes elsewhere; when
     * the dispatch arrives after all, it must not run here as well.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDispatchThatComesAfterItsCancelOrResumeNeverRuns(boolean cancelled) {
        companion.frame(1, cancelled ? new Frame.Cancel(id(1)) : new Frame.Resume(id(1), INCARNATION, 0));
        companion.frame(1, append(1));

        assertThat(refusals(1)).hasSize(2);
        assertThat(companion.called()).isEmpty();
    }

    @Test
    void endedAnswersThatNobodyReadAreKeptWithinTheirBound() {
        String megabyte = "x".repeat(1 << 20);
        for (int sequence = 1; sequence <= 8; sequence++) {
            companion.frame(1, prompt(sequence));
            companion.answer(sequence, megabyte);
            companion.end(sequence);
        }
        companion.pass(50, 1);
        companion.openLink(2);
        for (int sequence = 1; sequence <= 8; sequence++) {
            companion.frame(2, new Frame.Resume(id(sequence), INCARNATION, 0));
        }
        assertThat(companion.sent(2, Frame.AnswerEnd.class))
                .extracting(Frame.AnswerEnd::attempt)
                .containsExactly(id(5), id(6), id(7), id(8));
        assertThat(failures(2)).hasSize(4).containsOnly(ErrorKind.OUTCOME_UNKNOWN);
    }

    private List<Long> numbers(long link) {
        return companion.sent(link, Frame.AnswerChunk.class).stream()
                .map(Frame.AnswerChunk::number)
                .toList();
    }

    private List<ErrorKind> failures(long link) {
        return companion.sent(link, Frame.AnswerFailed.class).stream()
                .map(failed -> failed.refusal().kind())
                .toList();
    }

    private List<ErrorKind> refusals(long link) {
        return companion.sent(link, Frame.NotRun.class).stream()
                .map(notRun -> notRun.refusal().kind())
                .toList();
    }
}
