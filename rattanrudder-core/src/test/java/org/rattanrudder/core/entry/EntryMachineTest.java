package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.entry.TestDocuments.target;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.ErrorKind;

class EntryMachineTest {
    @Test
    void anAnswerIsForwardedCompletelyAndInOrder() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        long request = driver.prompt("sheet");
        Frame.Dispatch dispatch = driver.lastDispatch();

        driver.head(dispatch);
        driver.chunk(dispatch, 0);
        driver.chunk(dispatch, 1);
        driver.end(dispatch, 2);

        assertThat(dispatch.weightVersion()).isEqualTo("v1");
        assertThat(dispatch.companionIncarnation()).isEqualTo(100);
        assertThat(driver.deliveredChunks(request)).containsExactly(0, 1);
        assertThat(driver.effectsOf(EntryEffect.EndAnswer.class)).containsExactly(new EntryEffect.EndAnswer(request));
        assertThat(driver.effectsOf(EntryEffect.RequestEnded.class)).hasSize(1);
    }

    /** Guards against requests that are taken late, and cut at the end of the grace. */
    @ParameterizedTest(name = "eight took {0} s, the grace is {1} s: {2}")
    @CsvSource({"5, 30, DISPATCHED", "5, 6, REFUSED", "5, 8, DISPATCHED"})
    void whileDrainingOnlyRequestsWhoseLikeEndInTimeAreTaken(long tookSeconds, long graceSeconds, Fate fate) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        answerPrompts(driver, tookSeconds);
        int before = driver.dispatches().size();
        driver.handle(new EntryEvent.DrainRequested(graceSeconds * 1_000));
        long late = driver.prompt("late");

        assertThat(driver.dispatches()).hasSize(fate == Fate.DISPATCHED ? before + 1 : before);
        if (fate == Fate.REFUSED) {
            assertThat(driver.refusal(late)).isEqualTo(ErrorKind.DRAINING);
        }
    }

    private static void answerPrompts(EntryDriver driver, long tookSeconds) {
        for (int answered = 0; answered < 8; answered++) {
            driver.prompt("sheet " + answered);
            driver.head(driver.lastDispatch());
            driver.chunk(driver.lastDispatch(), 0);
            for (long second = 0; second < tookSeconds; second++) {
                driver.advance(1_000_000);
                driver.heartbeat(1, 100, true);
            }
            driver.end(driver.lastDispatch(), 1);
        }
    }

    /** Guards against the same after a suspension that only may have been. */
    @ParameterizedTest(name = "the grace is {0} s: {1}")
    @CsvSource({"11, REFUSED", "15, DISPATCHED"})
    void whileDrainingATimeInDoubtCountsAsPassed(long graceSeconds, Fate fate) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        answerPrompts(driver, 5);
        int before = driver.dispatches().size();
        driver.handle(new EntryEvent.DrainRequested(graceSeconds * 1_000));
        driver.advance(1_000_000);
        driver.suspendInDoubt(5_000_000);

        long late = driver.prompt("late");

        assertThat(driver.dispatches()).hasSize(fate == Fate.DISPATCHED ? before + 1 : before);
        if (fate == Fate.REFUSED) {
            assertThat(driver.refusal(late)).isEqualTo(ErrorKind.DRAINING);
        }
    }

    private enum Fate {
        DISPATCHED,
        REFUSED
    }

    /** Guards against callers whose connection ends with the process, without an answer. */
    @Test
    void atTheEndOfTheGraceWhoeverStillWaitsGetsALastAnswer() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        long waiting = driver.prompt("waiting");
        long begun = driver.prompt("begun");
        driver.head(driver.lastDispatch());
        driver.handle(new EntryEvent.DrainRequested(30_000));

        driver.handle(new EntryEvent.GraceEnding(false));
        assertThat(driver.refusal(waiting)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(driver.frames(Frame.Cancel.class)).hasSize(1);
        assertThat(driver.refusal(driver.prompt("late"))).isEqualTo(ErrorKind.DRAINING);
        assertThat(driver.effectsOf(EntryEffect.Drained.class)).isEmpty();

        driver.handle(new EntryEvent.GraceEnding(true));
        assertThat(driver.refusal(begun)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(driver.effectsOf(EntryEffect.Drained.class)).hasSize(1);
    }

    @ParameterizedTest
    @EnumSource(
            value = ErrorKind.class,
            names = {"OVERLOADED", "DRAINING", "VERSION_CHANGED", "STALE_INCARNATION", "TARGET_UNREACHABLE"})
    void anAttemptProvedNotRunIsRetriedOnAnotherTarget(ErrorKind kind) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.plain(target(1), target(2)));
        driver.atMostOnceCall(Optional.empty());
        Frame.Dispatch first = driver.lastDispatch();

        driver.notRun(first, kind);

        assertThat(driver.dispatches()).hasSize(2);
        assertThat(driver.lastDispatch().target()).isNotEqualTo(first.target());
        assertThat(driver.lastDispatch().attempt()).isEqualTo(first.attempt().next());
    }

    @Test
    void aRefusalByTheOnlyTargetReachesTheCallerAtOnceWithARetryDelay() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        long request = driver.prompt("sheet");

        driver.notRun(driver.lastDispatch(), ErrorKind.OVERLOADED);

        assertThat(driver.refusal(request)).isEqualTo(ErrorKind.OVERLOADED);
        assertThat(driver.refusalOf(request).retryAfterMillis()).isGreaterThanOrEqualTo(100);
    }

    @ParameterizedTest
    @EnumSource(
            value = ErrorKind.class,
            names = {"UNKNOWN_SERVICE", "UNKNOWN_PATH", "FORBIDDEN"})
    void invalidRequestsAreRefusedWithTheReason(ErrorKind kind) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        String service = kind == ErrorKind.UNKNOWN_SERVICE ? "nothing" : "palivo-llm";
        String requestClass = kind == ErrorKind.FORBIDDEN ? "alarm" : "audit";

        long request = driver.sendRequest(service, "GET", "/", requestClass, PromptShape.NONE, Optional.empty());

        assertThat(driver.refusal(request)).isEqualTo(kind);
        assertThat(driver.dispatches()).isEmpty();
    }

    @Test
    void theAttemptOfADisconnectedCallerIsCancelled() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        long request = driver.prompt("sheet");

        driver.handle(new EntryEvent.CallerDisconnected(request));

        assertThat(driver.frames(Frame.Cancel.class))
                .containsExactly(new Frame.Cancel(driver.lastDispatch().attempt()));
        assertThat(driver.effectsOf(EntryEffect.RequestEnded.class)
                        .get(0)
                        .summary()
                        .error())
                .contains(ErrorKind.CANCELLED);
    }

    @Test
    void heartbeatsAreSentEachSecondWithTheRevisionsInForce() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.advance(1_000_000);

        List<Frame.Heartbeat> heartbeats = driver.frames(Frame.Heartbeat.class);
        assertThat(heartbeats).extracting(Frame.Heartbeat::sequence).containsExactly(1L, 2L);
        assertThat(heartbeats.get(1).revisions()).hasSize(1);
    }

    @Test
    void explainShowsTheRoutingDecision() {
        ServiceDocument document = TestDocuments.prompts(target(1), target(2, "depo-juh", true));
        EntryDriver driver = EntryDriver.ready(document);

        driver.handle(new EntryEvent.OperatorCalled(
                9,
                new OperatorCall.Explain(
                        document.service(), new CustomerName("depot-sever"), "audit", PromptShape.NONE)));

        EntryEffect.ReplyToOperator reply =
                driver.effectsOf(EntryEffect.ReplyToOperator.class).get(0);
        OperatorReply.Explanation explanation = (OperatorReply.Explanation) reply.reply();
        assertThat(explanation.chosen()).isEqualTo("target-1");
        assertThat(explanation.weighed())
                .extracting(OperatorReply.Candidate::note)
                .containsExactly("chosen", "drained by the document");
        assertThat(driver.dispatches()).isEmpty();
    }

    /** Requests of the top priority wait less than the reported wait, which is that of a medium priority. */
    @ParameterizedTest
    @CsvSource({"audit, DEADLINE_UNREACHABLE", "check,"})
    void aRequestThatCanNotMeetItsDeadlineIsRefusedUnlessItHasTopPriority(String name, ErrorKind kind) {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1)));
        driver.heartbeat(1, 100, true, 15_000_000, 1);

        long request = driver.sendRequest(
                "palivo-llm", "POST", "/v1/chat/completions", name, new PromptShape(10, List.of()), Optional.empty());

        assertThat(driver.dispatches()).hasSize(kind == null ? 1 : 0);
        if (kind != null) {
            assertThat(driver.refusal(request)).isEqualTo(kind);
            assertThat(driver.refusalOf(request).retryAfterMillis()).isGreaterThanOrEqualTo(5_000);
        }
    }

    /** A changed document must not discard the load reports of the targets that it retains. */
    @Test
    void targetsRetainedByAChangedDocumentGetWorkAtOnce() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.prompts(target(1), target(2)));
        driver.prompt("sheet");
        driver.publish(TestDocuments.prompts(target(1), target(2), target(3)), 1);

        driver.prompt("sheet");

        assertThat(driver.dispatches()).hasSize(2);
        assertThat(driver.dispatches().get(1).target())
                .isEqualTo(driver.dispatches().get(0).target());
    }
}
