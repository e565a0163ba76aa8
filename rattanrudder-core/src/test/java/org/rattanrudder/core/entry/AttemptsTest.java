package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.entry.Documents.target;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.RunState;

class AttemptsTest {
    /**
     * A driver is charged for fuel never taken: the entry sends a log entry, the link breaks, and the entry sends it to
     * another target although the first one runs it. Cause: a broken link taken for a call that didn't run.
     */
    @Test
    void aCallThatMayRunOnlyOnceIsNotSentAgainWhenItsLinkBreaks() {
        EntryDriver driver = EntryDriver.ready(Documents.plain(target(1), target(2)));
        long request = driver.entryCall(Optional.empty());
        int companion = driver.lastCompanion();

        driver.close(companion);
        driver.close(companion);
        driver.pass(Attempts.RESUME_MICROS / 2);
        driver.heartbeat(3 - companion, 100, true);
        driver.pass(Attempts.RESUME_MICROS / 2);

        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * A pump waits two seconds for nothing: its companion was killed and replaced, and the entry hopes on for an answer
     * that nobody has. Cause: the new incarnation isn't taken as the end of the old one's attempts.
     */
    @Test
    void aRestartedCompanionEndsTheAttemptsOfTheOneBeforeAtOnce() {
        EntryDriver driver = EntryDriver.ready(Documents.plain(target(1), target(2)));
        long request = driver.entryCall(Optional.of("tank-7"));
        int companion = driver.lastCompanion();

        driver.close(companion);
        driver.open(companion, 101);

        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.frames(Frame.Resume.class)).isEmpty();
    }

    /**
     * A depot is told that the outcome of its entry is unknown though the companion lives and has the answer. The link
     * broke for a moment; a fresh one to the same incarnation tells the truth in time.
     */
    @Test
    void aFreshLinkToTheSameCompanionTellsWhatBecameOfTheAttempt() {
        EntryDriver driver = EntryDriver.ready(Documents.plain(target(1), target(2)));
        long request = driver.entryCall(Optional.empty());
        Frame.Dispatch dispatch = driver.lastDispatch();

        driver.close(driver.lastCompanion());
        driver.open(driver.lastCompanion(), 100);
        assertThat(driver.frames(Frame.Resume.class)).containsExactly(new Frame.Resume(dispatch.attempt(), 100, 0));
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.end(dispatch, 1);

        assertThat(driver.delivered(request)).containsExactly(0);
        assertThat(driver.all(EntryEffect.EndAnswer.class)).hasSize(1);
    }

    @Test
    void aFreshLinkThatProvesThatTheAttemptNeverRanLetsItGoElsewhere() {
        EntryDriver driver = EntryDriver.ready(Documents.plain(target(1), target(2)));
        driver.entryCall(Optional.empty());
        Frame.Dispatch lost = driver.lastDispatch();

        driver.close(driver.lastCompanion());
        driver.open(driver.lastCompanion(), 100);
        driver.notRun(lost, ErrorKind.STALE_INCARNATION);

        assertThat(driver.dispatches()).hasSize(2);
        assertThat(driver.lastDispatch().target()).isNotEqualTo(lost.target());
    }

    @Test
    void aPromptMovesOnAsSoonAsAFreshConnectionFailsToo() {
        EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1), target(2)));
        driver.prompt("sheet");
        Frame.Dispatch first = driver.lastDispatch();
        int companion = driver.lastCompanion();

        driver.close(companion);
        assertThat(driver.dispatches()).hasSize(1);
        driver.close(companion);

        assertThat(driver.dispatches()).hasSize(2);
        assertThat(driver.lastDispatch().target()).isNotEqualTo(first.target());
    }

    /**
     * A check waits for seconds at a host that is gone: nothing refuses the fresh connection either, so neither link
     * nor heartbeat tells in time. The attempt wasn't accepted at once, which is enough to doubt the link.
     */
    @Test
    void aPromptLeavesAHostThatAnswersNothingWithinASecond() {
        EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1), target(2)));
        driver.pass(1);
        driver.prompt("sheet");
        int companion = driver.lastCompanion();
        driver.effects.clear();

        driver.pass(AttemptClock.ACCEPT_MICROS);
        assertThat(driver.all(EntryEffect.OpenLink.class))
                .containsExactly(new EntryEffect.OpenLink(Documents.companion(companion)));
        driver.pass(Attempts.MOVE_MICROS);

        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.lastCompanion()).isEqualTo(3 - companion);
    }

    /**
     * An engineer reads a verdict whose second half belongs to another sample: the target was lost in mid-answer, and
     * the prompt was run again elsewhere and went on where the first answer stopped.
     */
    @Test
    void anAnswerThatHasBegunIsNeverContinuedByAnotherRun() {
        EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1), target(2)));
        long request = driver.prompt("dossier");
        driver.head(driver.lastDispatch());
        driver.chunk(driver.lastDispatch(), 0);

        driver.close(driver.lastCompanion());
        driver.open(driver.lastCompanion(), 101);

        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.TARGET_FAILED);
    }

    /**
     * A caller is told "not run" of a call that ran: the first attempt was lost with its link and may have run, the
     * second was refused as not run, and the refusal of the second was passed on for both.
     */
    @Test
    void aRefusalDoesNotClaimThatNothingRanAfterAnAttemptThatMayHave() {
        EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1), target(2)));
        long request = driver.prompt("sheet");
        int companion = driver.lastCompanion();
        driver.close(companion);
        driver.close(companion);

        driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);

        assertThat(driver.refusalOf(request).kind().runState()).isEqualTo(RunState.UNKNOWN);
    }

    /**
     * A caller repeats an alarm that was raised: the companion said that the attempt failed after it began, with a kind
     * whose usual meaning is "not run". Only a NotRun frame proves that.
     */
    @ParameterizedTest
    @EnumSource(
            value = ErrorKind.class,
            names = {"DRAINING", "TARGET_UNREACHABLE", "DEADLINE_UNREACHABLE"})
    void aFailureAfterTheStartIsNeverPassedOnAsNotRun(ErrorKind kind) {
        EntryDriver driver = EntryDriver.ready(Documents.plain(target(1), target(2)));
        long request = driver.entryCall(Optional.empty());

        driver.frame(
                driver.lastCompanion(),
                new Frame.AnswerFailed(driver.lastDispatch().attempt(), new Refusal(kind, 0, "broke off")));

        assertThat(driver.refusalOf(request).kind().runState()).isEqualTo(RunState.UNKNOWN);
        assertThat(driver.dispatches()).hasSize(1);
    }

    /**
     * A leaving target refuses what was on its way to it. The retry budget is spent by earlier trouble, and callers see
     * errors in a shutdown that should cut off nothing.
     */
    @Test
    void whatALeavingTargetRefusesIsMovedEvenWithoutARetryBudget() {
        EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1), target(2)));
        for (int used = 0; used < RetryBudget.RESERVE; used++) {
            driver.prompt("sheet");
            driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);
            driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);
            driver.pass(1_000);
        }
        driver.heartbeat(1, 100, true);
        driver.heartbeat(2, 100, true);
        long request = driver.prompt("sheet");
        int before = driver.dispatches().size();

        driver.notRun(driver.lastDispatch(), ErrorKind.DRAINING);

        assertThat(driver.dispatches()).hasSize(before + 1);
        assertThat(driver.lastDispatch().attempt().sequence()).isEqualTo(request);
    }

    /** The entry hears nothing: the caller is told at the deadline that the outcome is unknown, and the run stops. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whatMakesNoProgressEndsInTime(boolean begun) {
        EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1)));
        long request = driver.prompt("sheet");
        if (begun) {
            driver.head(driver.lastDispatch());
        }
        long limit = begun ? 5_000_000 : 10_000_000;
        for (long passed = 0; passed < limit + AttemptClock.GRACE_MICROS; passed += 250_000) {
            assertThat(driver.all(EntryEffect.Refuse.class)).isEmpty();
            driver.heartbeat(1, 100, true);
            driver.pass(250_000);
        }

        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.TARGET_SILENT);
        assertThat(driver.frames(Frame.Cancel.class)).hasSize(1);
    }

    @Test
    void anAttemptGivenUpWhileItsLinkWasDownIsCancelledOnTheNextLink() {
        EntryDriver driver = EntryDriver.ready(Documents.prompts(target(1), target(2)));
        driver.prompt("sheet");
        Frame.Dispatch first = driver.lastDispatch();
        int companion = driver.lastCompanion();
        driver.close(companion);
        driver.close(companion);

        driver.open(companion, 100);

        assertThat(driver.frames(Frame.Cancel.class)).isEqualTo(List.of(new Frame.Cancel(first.attempt())));
    }

    /** A prompt that ends each engine which begins it comes again and again. */
    @Test
    void aPromptUnderWhichThreeEnginesEndedIsSentToNoMore() {
        EntryDriver driver =
                EntryDriver.ready(Documents.prompts(target(1), target(2), target(3), target(4), target(5), target(6)));
        int failed = 0;
        long last = 0;
        for (int call = 0; call < 4; call++) {
            last = driver.prompt("sheet");
            while (failed < driver.dispatches().size()) {
                Refusal ended = new Refusal(ErrorKind.TARGET_FAILED, 0, "the engine is gone");
                driver.frame(
                        driver.lastCompanion(),
                        new Frame.AnswerFailed(driver.lastDispatch().attempt(), ended));
                failed++;
            }
        }

        assertThat(driver.dispatches()).hasSize(3);
        assertThat(driver.refusal(last)).isEqualTo(ErrorKind.REQUEST_QUARANTINED);
        assertThat(driver.refusalOf(last).retryAfterMillis()).isGreaterThan(3_000_000);
    }
}
