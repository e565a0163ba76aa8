package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.companion.CompanionDriver.PLAIN;
import static org.rattanrudder.core.companion.CompanionDriver.append;
import static org.rattanrudder.core.companion.CompanionDriver.id;
import static org.rattanrudder.core.companion.CompanionDriver.prompt;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;

class CompanionStagesTest {
    private static final KeyGate OPEN = (dispatch, turn, callback) -> callback.decided(new KeyGate.Granted(), turn);

    private final List<KeyGate.Callback> claims = new ArrayList<>();
    private final List<String> endings = new ArrayList<>();
    private final CompanionDriver companion = new CompanionDriver(new HeldGate(), ContextMover.NONE).prepare();

    @Test
    void aCallRunsOnlyAfterItsKeyIsGranted() {
        companion.frame(1, append(1));
        assertThat(companion.called()).isEmpty();

        decide(0, new KeyGate.Granted());
        companion.answer(1);
        companion.end(1);
        assertThat(companion.called()).containsExactly(id(1));
        assertThat(endings).containsExactly(id(1) + " ANSWERED");
    }

    @Test
    void aRefusedKeyIsNotRunAndAKeyOfUnknownOutcomeIsUnknown() {
        companion.frame(1, append(1));
        companion.frame(1, append(2));
        decide(0, new KeyGate.Refused(new Refusal(ErrorKind.LOG_UNAVAILABLE, 0, "")));
        decide(1, new KeyGate.Unknown(new Refusal(ErrorKind.OUTCOME_UNKNOWN, 0, "")));

        assertThat(companion.sent(1, Frame.NotRun.class)).hasSize(1);
        assertThat(companion.sent(1, Frame.AnswerFailed.class)).hasSize(1);
        assertThat(endings).containsExactly(id(1) + " NOT_RUN", id(2) + " UNKNOWN");
        assertThat(companion.called()).isEmpty();
    }

    /**
     * The log is down, and a pump terminal that posts a refuelling is told to come back within a second, though its
     * claim can't be made for several: it is refused again and again. The companion answered with the wait in the
     * target's queue, which is empty, and dropped the time that the key's gate had given; of a key whose call is
     * running it told no time at all.
     */
    @Test
    void aKeyThatIsRefusedTellsTheTimeToComeBackThatItsGateGave() {
        Refusal logDown = new Refusal(ErrorKind.LOG_UNAVAILABLE, 7_000, "the log doesn't answer");
        Refusal running = new Refusal(ErrorKind.KEY_IN_PROGRESS, 1_500, "the call is running");
        companion.frame(1, append(1));
        companion.frame(1, append(2));
        decide(0, new KeyGate.Refused(logDown));
        decide(1, new KeyGate.Unknown(running));

        assertThat(companion.sent(1, Frame.NotRun.class))
                .extracting(Frame.NotRun::refusal)
                .containsExactly(logDown);
        assertThat(companion.sent(1, Frame.AnswerFailed.class))
                .extracting(Frame.AnswerFailed::refusal)
                .containsExactly(running);
    }

    /**
     * A clerk is told "not run" because the log was slow, enters the tanking on paper, and then the claim comes through
     * and the entry is made as well.
     */
    @Test
    void aVerdictThatComesAfterTheDeadlineRunsNothing() {
        companion.frame(1, append(1));
        companion.pass(10_000, 1);
        assertThat(companion.sent(1, Frame.NotRun.class))
                .extracting(notRun -> notRun.refusal().kind())
                .containsExactly(ErrorKind.DEADLINE_UNREACHABLE);

        decide(0, new KeyGate.Granted());
        assertThat(companion.called()).isEmpty();
        assertThat(endings).containsExactly(id(1) + " NOT_RUN");
    }

    /** An entry reaches a ledger that has been told to take no more, since its claim took longer than the drain. */
    @Test
    void aVerdictThatComesAfterTheDrainOfItsTargetRunsNothing() {
        companion.frame(1, append(1));
        companion.publish(CompanionDriver.document(CompanionDriver.LEDGER, 2, 8, true));
        decide(0, new KeyGate.Granted());

        assertThat(companion.called()).isEmpty();
        assertThat(endings).containsExactly(id(1) + " NOT_RUN");
    }

    @Test
    void aSwapDuringTheFetchHandsThePromptBack() {
        SilentMover mover = new SilentMover(new ArrayList<>());
        CompanionDriver waiting = new CompanionDriver(OPEN, mover).prepare();
        waiting.frame(1, prompt(1));
        waiting.reportVersion("v2");
        waiting.pass(2_000, 1);

        assertThat(waiting.called()).isEmpty();
        assertThat(waiting.sent(1, Frame.NotRun.class))
                .extracting(notRun -> notRun.refusal().kind())
                .containsExactly(ErrorKind.VERSION_CHANGED);
    }

    /**
     * A ledger dies with two entries in it. Two more wait; as the first two are given up, each free place would send
     * another one into the dead ledger, and its clerk would hear "unknown" instead of "not run".
     */
    @Test
    void whatWaitsBeforeATargetThatIsGoneIsHandedBackAsNotRun() {
        CompanionDriver open = CompanionDriver.ready();
        open.handle(new CompanionEvent.LoadReported(PLAIN, new CompanionEvent.TargetLoad(0, 0, "", 0)));
        for (int sequence = 1; sequence <= 4; sequence++) {
            open.frame(1, append(sequence));
        }
        for (int second = 0; second <= 3; second++) {
            open.handle(new CompanionEvent.LoadReportMissed(PLAIN));
            open.pass(1_000, 1);
        }
        assertThat(open.called()).containsExactly(id(1), id(2));
        assertThat(open.sent(1, Frame.AnswerFailed.class)).hasSize(2);
        assertThat(open.sent(1, Frame.NotRun.class))
                .extracting(Frame.NotRun::attempt)
                .containsExactly(id(3), id(4));
    }

    /**
     * An engine has free places and prompts wait for good: the store went silent in the middle of a fetch, and the
     * prompt that waits for it keeps its place.
     */
    @Test
    void aPromptWhoseContextDoesNotComeIsCalledWithoutIt() {
        List<AttemptId> dropped = new ArrayList<>();
        CompanionDriver waiting = new CompanionDriver(OPEN, new SilentMover(dropped)).prepare();
        waiting.frame(1, prompt(1));
        waiting.pass(1_950, 1);
        assertThat(waiting.called()).isEmpty();
        waiting.pass(50, 1);

        assertThat(waiting.called()).containsExactly(id(1));
        assertThat(dropped).containsExactly(id(1));
    }

    private void decide(int claim, KeyGate.Verdict verdict) {
        claims.get(claim).decided(verdict, new Turn(20_000_000, companion.effects::add));
    }

    /** A gate whose verdicts the test gives. */
    private final class HeldGate implements KeyGate {
        @Override
        public void claim(Frame.Dispatch dispatch, Turn turn, Callback callback) {
            claims.add(callback);
        }

        @Override
        public void ended(AttemptId attempt, Ending ending, Turn turn) {
            endings.add(attempt + " " + ending);
        }
    }

    /** A mover whose store never answers. */
    private record SilentMover(List<AttemptId> dropped) implements ContextMover {
        @Override
        public void fetch(PromptRun run, Turn turn, Callback callback) {}

        @Override
        public void dropped(AttemptId attempt, Turn turn) {
            dropped.add(attempt);
        }
    }
}
