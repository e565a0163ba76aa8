package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.entry.TestDocuments.target;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.RunState;

class RequestDispatcherTest {
    /** Engines that may crash under one cause. */
    private static final int MOST_CRASHES = 5 + 3;

    /**
     * A call that may run at most once runs twice: its link is lost, and the entry takes this as proof that the call
     * didn't run and dispatches it to another target while the first one runs it.
     */
    @Test
    void anAtMostOnceCallIsNotRetriedWhenItsLinkIsLost() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        long request = driver.atMostOnceCall(Optional.empty());
        int companion = driver.lastCompanion();

        driver.closeLink(companion);
        driver.closeLink(companion);
        driver.advance(RequestDispatcher.RESUME_TIMEOUT_MICROS / 2);
        driver.heartbeat(3 - companion, 100, true);
        driver.advance(RequestDispatcher.RESUME_TIMEOUT_MICROS / 2);

        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * A caller waits two seconds in vain: the companion was restarted, and the entry doesn't take the new incarnation
     * as
     * the end of the old one's attempts.
     */
    @Test
    void aRestartedCompanionEndsTheAttemptsOfItsPredecessorAtOnce() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        long request = driver.atMostOnceCall(Optional.of("tank-7"));
        int companion = driver.lastCompanion();

        driver.closeLink(companion);
        driver.openLink(companion, 101);

        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.frames(Frame.Resume.class)).isEmpty();
    }

    /**
     * A caller gets "outcome unknown" although the companion still runs and has the answer: the link was lost only for
     * a
     * moment, and a new link to the same incarnation delivers the answer in time.
     */
    @Test
    void anAttemptIsResumedOnANewLinkToTheSameIncarnation() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        long request = driver.atMostOnceCall(Optional.empty());
        Frame.Dispatch dispatch = driver.lastDispatch();

        driver.closeLink(driver.lastCompanion());
        driver.openLink(driver.lastCompanion(), 100);
        assertThat(driver.frames(Frame.Resume.class)).containsExactly(new Frame.Resume(dispatch.attempt(), 100, 0));
        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.end(dispatch, 1);

        assertThat(driver.deliveredChunks(request)).containsExactly(0);
        assertThat(driver.effectsOf(EntryEffect.EndAnswer.class)).hasSize(1);
    }

    @Test
    void anAttemptProvedNotRunOnANewLinkIsRetriedOnAnotherTarget() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        driver.atMostOnceCall(Optional.empty());
        Frame.Dispatch lost = driver.lastDispatch();

        driver.closeLink(driver.lastCompanion());
        driver.openLink(driver.lastCompanion(), 100);
        driver.notRun(lost, ErrorKind.STALE_INCARNATION);

        assertThat(driver.dispatches()).hasSize(2);
        assertThat(driver.lastDispatch().target()).isNotEqualTo(lost.target());
    }

    @Test
    void aPromptMovesToAnotherTargetWhenReconnectingFails() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        driver.prompt("sheet");
        Frame.Dispatch first = driver.lastDispatch();
        int companion = driver.lastCompanion();

        driver.closeLink(companion);
        assertThat(driver.dispatches()).hasSize(1);
        driver.closeLink(companion);

        assertThat(driver.dispatches()).hasSize(2);
        assertThat(driver.lastDispatch().target()).isNotEqualTo(first.target());
    }

    /**
     * A request waits for seconds at a host that is down: new connections to it aren't refused either, so that neither
     * the link nor heartbeats reveal it in time. The missing acceptance of the attempt must suffice to replace the
     * link.
     */
    @Test
    void aPromptLeavesAnUnresponsiveHostWithinASecond() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        driver.advance(1);
        driver.prompt("sheet");
        int companion = driver.lastCompanion();
        driver.effects.clear();

        driver.advance(AttemptTimeouts.ACCEPT_TIMEOUT_MICROS);
        assertThat(driver.effectsOf(EntryEffect.OpenLink.class))
                .containsExactly(new EntryEffect.OpenLink(TestDocuments.companion(companion)));
        driver.advance(RequestDispatcher.FAILOVER_DELAY_MICROS);

        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.lastCompanion()).isEqualTo(3 - companion);
    }

    /**
     * An answer mixes two runs: the target was lost in mid-answer, and the prompt was run again on another target whose
     * answer continued where the first one stopped.
     */
    @Test
    void aStartedAnswerIsNeverContinuedByAnotherRun() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        long request = driver.prompt("dossier");
        driver.head(driver.lastDispatch());
        driver.chunk(driver.lastDispatch(), 0);

        driver.closeLink(driver.lastCompanion());
        driver.openLink(driver.lastCompanion(), 101);

        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.TARGET_FAILED);
    }

    /**
     * A caller gets "not run" for a call that ran: the first attempt was lost with its link and may have run, the
     * second
     * one was refused as not run, and the entry forwarded this refusal for both.
     */
    @Test
    void aRefusalDoesNotClaimNotRunIfAnEarlierAttemptMayHaveRun() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        long request = driver.prompt("sheet");
        int companion = driver.lastCompanion();
        driver.closeLink(companion);
        driver.closeLink(companion);

        driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);

        assertThat(driver.refusalOf(request).kind().runState()).isEqualTo(RunState.UNKNOWN);
    }

    /**
     * A caller repeats a call that ran: the companion reported a failure after the start of the attempt, with a kind of
     * error that usually means "not run". Only a NotRun frame proves that an attempt didn't run.
     */
    @ParameterizedTest
    @EnumSource(
            value = ErrorKind.class,
            names = {"DRAINING", "TARGET_UNREACHABLE", "DEADLINE_UNREACHABLE"})
    void aFailureAfterTheStartIsNeverReportedAsNotRun(ErrorKind kind) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        long request = driver.atMostOnceCall(Optional.empty());

        driver.frame(
                driver.lastCompanion(),
                new Frame.AnswerFailed(driver.lastDispatch().attempt(), new Refusal(kind, 0, "broke off")));

        assertThat(driver.refusalOf(request).kind().runState()).isEqualTo(RunState.UNKNOWN);
        assertThat(driver.dispatches()).hasSize(1);
    }

    /**
     * A shutdown of a target causes errors: the target refuses the requests on their way to it, and the retry budget is
     * used up by earlier failures.
     */
    @Test
    void requestsRefusedByALeavingTargetAreMovedWithoutARetryBudget() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        for (int used = 0; used < RetryBudget.INITIAL_RETRIES; used++) {
            driver.prompt("sheet");
            driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);
            driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);
            driver.advance(1_000);
        }
        driver.heartbeat(1, 100, true);
        driver.heartbeat(2, 100, true);
        long request = driver.prompt("sheet");
        int before = driver.dispatches().size();

        driver.notRun(driver.lastDispatch(), ErrorKind.DRAINING);

        assertThat(driver.dispatches()).hasSize(before + 1);
        assertThat(driver.lastDispatch().attempt().sequence()).isEqualTo(request);
    }

    /** No frame arrives: at the timeout the caller gets an error, and the attempt is cancelled at its companion. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void attemptsWithoutProgressTimeOut(boolean begun) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        long request = driver.prompt("sheet");
        if (begun) {
            driver.head(driver.lastDispatch());
        }
        long limit = begun ? 5_000_000 : 10_000_000;
        for (long passed = 0; passed < limit + AttemptTimeouts.TIMEOUT_GRACE_MICROS; passed += 250_000) {
            assertThat(driver.effectsOf(EntryEffect.Refuse.class)).isEmpty();
            driver.heartbeat(1, 100, true);
            driver.advance(250_000);
        }

        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.TARGET_SILENT);
        assertThat(driver.frames(Frame.Cancel.class)).hasSize(1);
    }

    @Test
    void anAttemptAbandonedWithoutALinkIsCancelledOnTheNextLink() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        driver.prompt("sheet");
        Frame.Dispatch first = driver.lastDispatch();
        int companion = driver.lastCompanion();
        driver.closeLink(companion);
        driver.closeLink(companion);

        driver.openLink(companion, 100);

        assertThat(driver.frames(Frame.Cancel.class)).isEqualTo(List.of(new Frame.Cancel(first.attempt())));
    }

    /** Guards against a piece that all prompts share and that is refused for an hour in place of rarer causes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void promptsWithAPieceInCommonWithSeveralCausesAreServedAfterATrial(int causes) {
        EntryDriver driver =
                EntryDriver.ready(TestDocuments.prompts(target(1), target(2), target(3), target(4), target(5)));
        int failed = 0;
        for (int call = 0; call < 30; call++) {
            driver.promptOf("common", "cause-" + call % causes, "own-" + call);
            while (failed < driver.dispatches().size()) {
                Refusal ended = new Refusal(ErrorKind.TARGET_FAILED, 0, "the engine is gone");
                driver.frame(
                        driver.lastCompanion(),
                        new Frame.AnswerFailed(driver.lastDispatch().attempt(), ended));
                failed++;
            }
            driver.advance(50_000);
        }
        assertThat(driver.dispatches()).hasSizeLessThanOrEqualTo(MOST_CRASHES * causes);

        // The first trial may have gone to the third cause, which was unknown then; the next one may begin 5 s later.
        for (int step = 0; step < 10; step++) {
            driver.advance(500_000);
            IntStream.rangeClosed(1, 5).forEach(companion -> driver.heartbeat(companion, 100, true));
        }
        int before = driver.dispatches().size();
        for (int call = 0; call < 10; call++) {
            driver.promptOf("common", "sound-" + call);
            driver.head(driver.lastDispatch());
            driver.end(driver.lastDispatch(), 0);
        }

        assertThat(driver.dispatches()).hasSize(before + 10);
    }

    /** A prompt that crashes each engine which runs it is sent repeatedly. */
    @Test
    void aPromptThatCrashedThreeEnginesIsQuarantined() {
        EntryDriver driver = EntryDriver.ready(
                TestDocuments.prompts(target(1), target(2), target(3), target(4), target(5), target(6)));
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

    /** Guards against a target that works on past a caller's deadline after a suspension that only may have been. */
    @Test
    void aRetryIsGivenTheTimeThatIsLeftForSure() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        driver.atMostOnceCall(Optional.empty());
        Frame.Dispatch first = driver.lastDispatch();

        driver.advance(1_000_000);
        driver.suspendInDoubt(5_000_000);
        driver.notRun(first, ErrorKind.OVERLOADED);

        assertThat(driver.dispatches()).hasSize(2);
        assertThat(driver.lastDispatch().deadlineMicros()).isEqualTo(first.deadlineMicros() - 6_000_000);
    }

    /** Guards against the same where the caller's deadline may have passed. */
    @Test
    void aRequestWithoutTimeLeftForSureIsRefusedAsNotRun() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        long request = driver.atMostOnceCall(Optional.empty());

        driver.suspendInDoubt(driver.lastDispatch().deadlineMicros());
        driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);

        assertThat(driver.dispatches()).hasSize(1);
        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
        assertThat(driver.refusal(request).runState()).isEqualTo(RunState.NOT_RUN);
    }
}
