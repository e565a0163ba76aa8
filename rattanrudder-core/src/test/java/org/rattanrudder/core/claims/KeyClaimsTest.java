package org.rattanrudder.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;

class KeyClaimsTest {
    private static final KeyedCall CALL = ClaimWorld.call(0, 0);

    private final ClaimWorld world = new ClaimWorld(1);
    private final SimulatedCompanion first = world.companions.get(0);
    private final SimulatedCompanion second = world.companions.get(1);

    /**
     * A driver is charged twice: the caller's retry goes through another entry to another companion while the first
     * still runs, and both run it. Cause: each companion knows only its own keys.
     */
    @Test
    void theFirstClaimInTheLogRunsAndTheOtherHearsOfItAndLaterGetsItsAnswer() {
        AttemptId one = world.ask(first, CALL);
        AttemptId two = world.ask(second, CALL);
        land();
        second.read(10, world.now);
        assertThat(world.decisions).as("before its own claim is read back").doesNotContainKey(two);
        land();
        second.read(10, world.now);
        first.read(10, world.now);

        assertThat(world.decisions.get(one)).isInstanceOf(KeyDecision.Run.class);
        assertThat(kind(two)).isEqualTo(ErrorKind.KEY_IN_PROGRESS);
        world.settle();
        assertThat(world.decisions.get(world.ask(second, CALL))).isInstanceOf(KeyDecision.Replay.class);
        assertThat(world.runs.get(CALL.key())).hasSize(1);
    }

    /**
     * The caller is told "not run" since the log doesn't answer; the claim turns up in the log after that. Either it
     * ran although it was called not run, or the caller's honest retry meets a claim that no one ever runs.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aClaimThatLandsAfterTheCallerWasToldNotRunNeverRunsAndDoesNotBlockTheRetry(boolean sameCompanion) {
        AttemptId refused = world.ask(first, CALL);
        first.answer(new AppendResult.Unknown(), world.now);
        world.now += ClaimWorld.CLAIMS.claimTimeoutMicros();
        first.tick(world.now);
        assertThat(kind(refused)).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        first.read(10, world.now);

        assertThat(kind(world.ask(first, CALL))).as("the claim is in doubt").isEqualTo(ErrorKind.LOG_UNAVAILABLE);

        land();
        first.read(10, world.now);
        assertThat(world.runs).isEmpty();
        world.settle();
        AttemptId retry = world.ask(sameCompanion ? first : second, CALL);
        world.settle();

        assertThat(world.decisions.get(retry)).isInstanceOf(KeyDecision.Run.class);
        assertThat(world.runs.get(CALL.key())).hasSize(1);
    }

    @Test
    void aRepeatMayUseTheClaimOfAnAttemptThatWasGivenUp() {
        AttemptId givenUp = world.ask(first, CALL);
        first.answer(new AppendResult.Unknown(), world.now);
        first.claims.cancel(givenUp);
        AttemptId repeat = world.ask(first, CALL);
        land();
        first.read(10, world.now);

        assertThat(world.decisions.get(repeat)).isInstanceOf(KeyDecision.Run.class);
        assertThat(world.decisions).doesNotContainKey(givenUp);
    }

    /**
     * A companion dies with a claim that has no outcome. Its successor, or another companion, runs the call again and
     * doubles an alarm, or has the caller wait for an answer that never comes.
     */
    @ParameterizedTest
    @CsvSource({"true, OUTCOME_UNKNOWN", "false, KEY_IN_PROGRESS"})
    void aDeadClaimantsCallIsUnknownAtOnceIfItsSuccessorIsHeardAndAfterAWhileOtherwise(
            boolean restarted, ErrorKind atOnce) {
        world.ask(first, CALL);
        land();
        first.read(10, world.now);
        SimulatedCompanion successor = world.start(restarted ? first.name : "companion-9");
        world.companions.set(0, successor);
        world.settle();
        assertThat(kind(world.ask(successor, CALL))).isEqualTo(atOnce);
        assertThat(kind(world.ask(second, CALL))).isEqualTo(atOnce);
        world.now += ClaimWorld.CLAIMS.inProgressMicros();
        assertThat(kind(world.ask(second, CALL))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * A companion is frozen after its claim reached the log. The caller's deadline passes, or even the key's retention
     * and the caller uses the key anew at another companion; then the first wakes and runs the old call too.
     */
    @ParameterizedTest
    @ValueSource(longs = {2 * ClaimWorld.SECOND, 2 * ClaimWorld.KEY_RETENTION_MICROS})
    void aCompanionThatWakesAfterAFreezeDoesNotRunItsOldClaim(long frozenMicros) {
        AttemptId old = world.ask(first, CALL);
        land();
        first.frozen = true;
        world.now += frozenMicros;
        first.read(10, world.now);

        assertThat(kind(old)).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        assertThat(world.runs).isEmpty();
    }

    /**
     * The answer to a claim comes, but the companion reads the log only after a long pause. Meanwhile the key expired
     * and ran anew elsewhere. A caller's repeat that uses the old claim would run beside it.
     */
    @Test
    void aClaimThatIsReadBackLateIsNotUsedForARepeat() {
        AttemptId givenUp = world.ask(first, CALL);
        land();
        first.answer(new AppendResult.Appended(1), world.now);
        first.claims.cancel(givenUp);
        world.now += ClaimWorld.KEY_RETENTION_MICROS;
        AttemptId repeat = world.ask(first, CALL);
        assertThat(world.decisions).as("held for the old claim").isEmpty();
        first.read(10, world.now);

        assertThat(kind(repeat)).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
    }

    /**
     * A claim is given back, claimed anew and running; then a late copy of the giving back lands. A reader that takes
     * it frees the key, and another companion runs the call beside the first.
     */
    @Test
    void aLateCopyOfAReleaseDoesNotFreeAKeyThatRuns() {
        AttemptId givenUp = world.ask(first, CALL);
        land();
        first.answer(new AppendResult.Unknown(), world.now);
        first.claims.cancel(givenUp);
        first.read(10, world.now);
        world.now += SimulatedCompanion.WRITER.intervalMicros();
        first.tick(world.now);
        first.answer(new AppendResult.Unknown(), world.now);
        first.read(10, world.now);
        world.now += SimulatedCompanion.WRITER.readBackMicros();
        first.tick(world.now);
        assertThat(world.log.onTheWay()).as("two copies of the release").isEqualTo(2);
        world.log.land(1, world.now);
        first.read(10, world.now);
        AttemptId repeat = world.ask(first, CALL);
        world.now += SimulatedCompanion.WRITER.intervalMicros();
        first.tick(world.now);
        world.log.land(1, world.now);
        first.read(10, world.now);
        assertThat(world.decisions.get(repeat)).isInstanceOf(KeyDecision.Run.class);

        land();
        second.read(10, world.now);
        assertThat(kind(world.ask(second, CALL))).isEqualTo(ErrorKind.KEY_IN_PROGRESS);
    }

    /**
     * A companion was frozen for longer than the log keeps records. What it has missed is older than any key, but what
     * was claimed since still stands between the gap and the end.
     */
    @Test
    void afterAGapNothingIsClaimedBeforeTheRestIsRead() {
        claimAndRead(second, 1);
        world.now += ClaimWorld.LOG_RETENTION_MICROS;
        claimAndRead(second, 2);
        claimAndRead(second, 3);
        first.read(1, world.now);
        assertThat(kind(world.ask(first, CALL))).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        first.read(10, world.now);
        assertThat(world.decisions).doesNotContainKey(world.ask(first, CALL));
    }

    /** A key is blocked until it expires: its claim turned up so late that its claimant had forgotten it. */
    @Test
    void aClaimThatTurnsUpAfterItWasForgottenIsGivenBack() {
        AttemptId givenUp = world.ask(first, CALL);
        first.answer(new AppendResult.Unknown(), world.now);
        first.claims.cancel(givenUp);
        world.now += ClaimWorld.CLAIMS.logRetentionMicros() + 1;
        first.tick(world.now);
        assertThat(first.claims.isDrained()).isTrue();
        world.settle();
        AttemptId elsewhere = world.ask(second, CALL);
        world.settle();

        assertThat(world.decisions.get(elsewhere)).isInstanceOf(KeyDecision.Run.class);
    }

    @Test
    void theSameKeyWithAnotherRequestIsRefusedBeforeDuringAndAfterTheRun() {
        KeyedCall other = ClaimWorld.call(0, 1);
        world.ask(first, CALL);
        assertThat(kind(world.ask(first, other))).isEqualTo(ErrorKind.KEY_REUSED);
        land();
        first.read(10, world.now);
        assertThat(kind(world.ask(first, other))).isEqualTo(ErrorKind.KEY_REUSED);
        world.settle();
        assertThat(kind(world.ask(second, other))).isEqualTo(ErrorKind.KEY_REUSED);
    }

    /**
     * Through an outage of the log depot clerks stare at a terminal that hangs. What can't be claimed is refused at
     * once, and what was answered before is answered still.
     */
    @Test
    void whileTheLogIsDownNewKeysAreRefusedAtOnceAndRecordedAnswersStillGoOut() {
        world.ask(first, CALL);
        world.settle();
        world.log.down = true;
        first.read(10, world.now);
        second.read(10, world.now);

        assertThat(kind(world.ask(first, ClaimWorld.call(1, 0)))).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        assertThat(world.decisions.get(world.ask(second, CALL))).isInstanceOf(KeyDecision.Replay.class);
    }

    @Test
    void nothingRunsBeforeTheClaimsWereReadToTheirEnd() {
        world.ask(second, CALL);
        world.settle();
        SimulatedCompanion late = world.start("companion-9");
        world.companions.set(0, late);
        late.read(1, world.now);

        assertThat(kind(world.ask(late, ClaimWorld.call(1, 0)))).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        world.settle();
        assertThat(world.decisions.get(world.ask(late, CALL))).isInstanceOf(KeyDecision.Replay.class);
    }

    @Test
    void aCallThatNeverReachedItsTargetLeavesItsKeyFree() {
        world.ask(first, CALL);
        land();
        first.read(10, world.now);
        world.end(first, "not run");
        AttemptId here = world.ask(first, CALL);
        assertThat(world.decisions).doesNotContainKey(here);
        world.settle();
        assertThat(world.decisions.get(here)).isInstanceOf(KeyDecision.Run.class);
        assertThat(world.runs.get(CALL.key())).hasSize(1);
    }

    @Test
    void anAnswerAboveTheBoundIsRecordedAsStatusOnlyAndSaysSo() {
        AttemptId attempt = world.ask(first, CALL);
        land();
        first.read(10, world.now);
        first.running.clear();
        first.claims.recordAnswer(attempt, 201, List.of(), new byte[ClaimWorld.CLAIMS.maxRecordedBodyBytes() + 1]);
        world.settle();

        KeyedDecision replay =
                new KeyedDecision(second.claims.admit(new AttemptId(2, 1, 1), CALL, world.now, world.now));
        assertThat(replay.answer().status()).isEqualTo(201);
        assertThat(replay.answer().body()).isEmpty();
        assertThat(replay.answer().isWhole()).isFalse();
    }

    private record KeyedDecision(KeyDecision decision) {
        RecordedAnswer answer() {
            return ((KeyDecision.Replay) decision).answer();
        }
    }

    private void claimAndRead(SimulatedCompanion companion, int key) {
        world.ask(companion, ClaimWorld.call(key, 0));
        land();
        companion.read(10, world.now);
        world.now += SimulatedCompanion.WRITER.intervalMicros();
    }

    private void land() {
        world.log.land(0, world.now);
    }

    private ErrorKind kind(AttemptId attempt) {
        KeyDecision decision = world.decisions.get(attempt);
        assertThat(decision).isInstanceOf(KeyDecision.Refuse.class);
        return ((KeyDecision.Refuse) decision).refusal().kind();
    }
}
