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
     * The entry's link becomes unresponsive in the middle of an answer, while new links work. The entry opens another
     * and names the first chunk that it lacks; no chunk may be missing or arrive twice.
     */
    @Test
    void streamResumesOnANewLinkAtTheNextChunk() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a", "b", "c");
        companion.openLink(2);
        companion.chunk(1, "d", "v1");
        companion.frame(2, new Frame.Resume(id(1), INCARNATION, 1));
        companion.chunk(1, "e", "v1");
        companion.end(1);

        assertThat(companion.effectsOf(CompanionEffect.CloseLink.class))
                .containsExactly(new CompanionEffect.CloseLink(1));
        assertThat(companion.sent(2, Frame.AnswerHead.class)).hasSize(1);
        assertThat(numbers(2)).containsExactly(1L, 2L, 3L, 4L);
        assertThat(companion.sent(2, Frame.AnswerEnd.class))
                .extracting(Frame.AnswerEnd::chunks)
                .containsExactly(5L);
    }

    @Test
    void resendsAnAnswerEndThatWasLostWithItsLink() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a");
        companion.end(1);
        companion.handle(new CompanionEvent.LinkClosed(1));
        companion.advance(4_000);
        companion.openLink(2);
        companion.frame(2, new Frame.Resume(id(1), INCARNATION, 1));

        assertThat(companion.sent(2, Frame.AnswerEnd.class)).hasSize(1);
        assertThat(numbers(2)).isEmpty();
    }

    /**
     * Each lost link loses credits that were in flight on it. After a few changes of links, the lost credits would add
     * up to the whole window, and the answer would stall although its caller is waiting.
     */
    @Test
    void creditsLostWithALinkDoNotStallTheStream() {
        companion.frame(1, prompt(1));
        int chunk = 0;
        for (long link = 2; link <= 4; link++) {
            for (int more = 0; more < CompanionEffect.INITIAL_WINDOW_CHUNKS; more++, chunk++) {
                companion.chunk(1, "x", "v1");
            }
            companion.openLink(link);
            companion.effects.clear();
            companion.frame(link, new Frame.Resume(id(1), INCARNATION, chunk));
            assertThat(companion.effectsOf(CompanionEffect.ReadMore.class))
                    .containsExactly(new CompanionEffect.ReadMore(id(1), CompanionEffect.INITIAL_WINDOW_CHUNKS));
        }
    }

    @Test
    void resumeBeforeTheConfirmedChunksEndsWithOutcomeUnknown() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a", "b", "c");
        companion.frame(1, new Frame.Credit(id(1), 2));
        companion.openLink(2);
        companion.frame(2, new Frame.Resume(id(1), INCARNATION, 1));

        assertThat(numbers(2)).isEmpty();
        assertThat(failures(2)).containsExactly(ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * The connection to the engine breaks in the middle of a stream. An engine that has retained the stream resumes it.
     * If it hasn't, the answer fails at once, and no second answer is appended to half of the first.
     */
    @Test
    void resumesAnEngineStreamOnceAtTheNextChunkAndThenFails() {
        companion.frame(1, prompt(1));
        companion.answer(1, "a", "b");
        companion.handle(new CompanionEvent.TargetFailed(id(1), false, "reset"));
        assertThat(companion.effectsOf(CompanionEffect.ResumePrompt.class))
                .extracting(CompanionEffect.ResumePrompt::fromChunk)
                .containsExactly(2L);

        companion.handle(new CompanionEvent.TargetFailed(id(1), false, "404"));
        assertThat(failures(1)).containsExactly(ErrorKind.TARGET_FAILED);
        assertThat(companion.called()).hasSize(1);
    }

    /**
     * The connection to a plain service breaks after the call may have taken effect. A retry could charge a customer
     * twice.
     */
    @Test
    void plainCallThatMayHaveArrivedIsUnknownAndNotRetried() {
        companion.frame(1, append(1));
        companion.handle(new CompanionEvent.TargetFailed(id(1), false, "reset"));
        companion.frame(1, append(1));

        assertThat(failures(1)).containsExactly(ErrorKind.TARGET_FAILED);
        assertThat(companion.called()).containsExactly(id(1));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void abortsAnAnswerOfAnotherWeightVersion(int chunksBefore) {
        companion.frame(1, prompt(1));
        companion.answer(1, chunksBefore == 0 ? new String[0] : new String[] {"half"});
        companion.chunk(1, "other half", "v2");
        companion.chunk(1, "more", "v2");

        assertThat(numbers(1)).hasSize(chunksBefore);
        assertThat(failures(1)).containsExactly(ErrorKind.TARGET_FAILED);
        assertThat(companion.effectsOf(CompanionEffect.CancelCall.class)).hasSize(1);
    }

    @Test
    void weightSwapReturnsQueuedPromptsAndLetsRunningOnesFinish() {
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
    void closesAnIdleLinkAfterThreeSecondsAndDropsItsFrames() {
        companion.advance(2_900);
        assertThat(companion.effectsOf(CompanionEffect.CloseLink.class)).isEmpty();
        companion.advance(100);
        companion.frame(1, append(1));

        assertThat(companion.effectsOf(CompanionEffect.CloseLink.class))
                .containsExactly(new CompanionEffect.CloseLink(1));
        assertThat(companion.called()).isEmpty();
    }

    /**
     * After an entry has died, its prompts would occupy slots for answers that are never read. A running append is left
     * to finish, since cancelling it would undo nothing.
     */
    @Test
    void cancelsPromptsOfADisconnectedEntryButNotItsAppends() {
        companion.frame(1, prompt(1));
        for (int sequence = 2; sequence <= 4; sequence++) {
            companion.frame(1, append(sequence));
        }
        companion.handle(new CompanionEvent.LinkClosed(1));
        companion.advance(1_500);
        companion.answer(1, "a");
        companion.answer(2);
        companion.answer(3);
        companion.advance(1_900);
        companion.answer(2, "b");
        companion.answer(3, "b");
        companion.advance(1_600);

        assertThat(companion.effectsOf(CompanionEffect.CancelCall.class))
                .containsExactly(new CompanionEffect.CancelCall(id(1)));
        companion.end(2);
        assertThat(companion.called()).containsExactly(id(1), id(2), id(3));
    }

    /** An engine dies without closing its connection, and a caller would wait for its answer forever. */
    @Test
    void reportsATargetWithoutProgressAsSilentButNotASlowCaller() {
        companion.frame(1, prompt(1));
        companion.frame(1, prompt(2));
        LongStream.range(0, CompanionEffect.INITIAL_WINDOW_CHUNKS).forEach(chunk -> companion.chunk(2, "x", "v1"));
        companion.advance(1_950, 1);
        assertThat(failures(1)).isEmpty();
        companion.advance(50, 1);

        assertThat(companion.sent(1, Frame.AnswerFailed.class)).singleElement().satisfies(failed -> {
            assertThat(failed.attempt()).isEqualTo(id(1));
            assertThat(failed.refusal().kind()).isEqualTo(ErrorKind.TARGET_SILENT);
        });
    }

    /**
     * After the companion was frozen for some seconds, all targets and links seem to have timed out, although their
     * frames are pending. If timeouts applied at once, every running answer would fail.
     */
    @Test
    void readsPendingFramesAfterAPauseBeforeTimeoutsApply() {
        companion.frame(1, prompt(1));
        companion.frame(1, prompt(2));
        companion.advance(100, 1);
        companion.freeze(10_000);
        companion.handle(new CompanionEvent.Tick());
        companion.chunk(1, "a", "v1");
        companion.advance(1_500, 1);

        assertThat(companion.effectsOf(CompanionEffect.CloseLink.class)).isEmpty();
        assertThat(companion.sent(1, Frame.AnswerFailed.class))
                .extracting(Frame.AnswerFailed::attempt)
                .containsExactly(id(2));
    }

    @Test
    void engineWithoutAReportedVersionGetsNoAttempts() {
        companion.reportVersion("");
        companion.advance(1_000, 1);
        companion.effects.clear();
        companion.frame(1, CompanionDriver.promptFor(1, ""));
        companion.advance(1_000, 1);

        assertThat(refusals(1)).containsExactly(ErrorKind.VERSION_CHANGED);
        assertThat(companion.sent(1, Frame.Heartbeat.class))
                .allSatisfy(heartbeat -> assertThat(heartbeat.targets())
                        .anyMatch(state -> state.target().equals(CompanionDriver.ENGINE) && !state.accepting()));
    }

    /**
     * A dispatch is lost with its link or delayed. The entry gets "not run" and sends the request elsewhere; if the
     * dispatch arrives later, it must not run here as well.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dispatchThatArrivesAfterItsCancelOrResumeNeverRuns(boolean cancelled) {
        companion.frame(1, cancelled ? new Frame.Cancel(id(1)) : new Frame.Resume(id(1), INCARNATION, 0));
        companion.frame(1, append(1));

        assertThat(refusals(1)).hasSize(2);
        assertThat(companion.called()).isEmpty();
    }

    @Test
    void limitsRetainedEndedAnswers() {
        String megabyte = "x".repeat(1 << 20);
        for (int sequence = 1; sequence <= 8; sequence++) {
            companion.frame(1, prompt(sequence));
            companion.answer(sequence, megabyte);
            companion.end(sequence);
        }
        companion.advance(50, 1);
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
