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
import org.rattanrudder.core.time.EventTime;

class KeyClaimsTest {
    private static final KeyedCall CALL = ClaimSimulation.call(0, 0);

    private final ClaimSimulation simulation = new ClaimSimulation(1);
    private final SimulatedCompanion first = simulation.companions.get(0);
    private final SimulatedCompanion second = simulation.companions.get(1);

    /**
     * Failure: the call runs twice. The caller's retry reaches another companion while the first still runs, and each
     * companion knows only its own keys.
     */
    @Test
    void onlyTheFirstClaimInTheLogRunsAndTheSecondGetsItsAnswerLater() {
        AttemptId one = simulation.ask(first, CALL);
        AttemptId two = simulation.ask(second, CALL);
        deliver();
        second.read(10, simulation.nowMicros);
        assertThat(simulation.decisions).as("before its own claim is read back").doesNotContainKey(two);
        deliver();
        second.read(10, simulation.nowMicros);
        first.read(10, simulation.nowMicros);

        assertThat(simulation.decisions.get(one)).isInstanceOf(KeyDecision.Run.class);
        assertThat(kind(two)).isEqualTo(ErrorKind.KEY_IN_PROGRESS);
        simulation.settle();
        assertThat(simulation.decisions.get(simulation.ask(second, CALL))).isInstanceOf(KeyDecision.Replay.class);
        assertThat(simulation.runs.get(CALL.key())).hasSize(1);
    }

    /**
     * Failure: an attempt is answered "not run" because the log doesn't respond, and its claim appears in the log
     * later. Either the call runs nevertheless, or the caller's retry finds a claim that nobody ever runs.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aClaimThatArrivesAfterANotRunAnswerNeverRunsAndDoesNotBlockTheRetry(boolean sameCompanion) {
        AttemptId refused = simulation.ask(first, CALL);
        first.completeOldestAppend(new AppendResult.Unknown(), simulation.nowMicros);
        simulation.nowMicros += ClaimSimulation.SETTINGS.claimTimeoutMicros();
        first.tick(simulation.nowMicros);
        assertThat(kind(refused)).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        first.read(10, simulation.nowMicros);

        assertThat(kind(simulation.ask(first, CALL)))
                .as("the claim is in doubt")
                .isEqualTo(ErrorKind.LOG_UNAVAILABLE);

        deliver();
        first.read(10, simulation.nowMicros);
        assertThat(simulation.runs).isEmpty();
        simulation.settle();
        AttemptId retry = simulation.ask(sameCompanion ? first : second, CALL);
        simulation.settle();

        assertThat(simulation.decisions.get(retry)).isInstanceOf(KeyDecision.Run.class);
        assertThat(simulation.runs.get(CALL.key())).hasSize(1);
    }

    @Test
    void aRetryMayUseTheClaimOfACancelledAttempt() {
        AttemptId cancelled = simulation.ask(first, CALL);
        first.completeOldestAppend(new AppendResult.Unknown(), simulation.nowMicros);
        first.claims.cancel(cancelled);
        AttemptId retry = simulation.ask(first, CALL);
        deliver();
        first.read(10, simulation.nowMicros);

        assertThat(simulation.decisions.get(retry)).isInstanceOf(KeyDecision.Run.class);
        assertThat(simulation.decisions).doesNotContainKey(cancelled);
    }

    /**
     * Failure: a companion crashes with a claim that has no outcome. Another process runs the call again, or the caller
     * waits for an answer that never comes.
     */
    @ParameterizedTest
    @CsvSource({"true, OUTCOME_UNKNOWN", "false, KEY_IN_PROGRESS"})
    void aCrashedClaimantsCallIsUnknownAtOnceIfItRestartedAndOtherwiseAfterATimeout(
            boolean restarted, ErrorKind atOnce) {
        simulation.ask(first, CALL);
        deliver();
        first.read(10, simulation.nowMicros);
        SimulatedCompanion successor = simulation.start(restarted ? first.name : "companion-9");
        simulation.companions.set(0, successor);
        simulation.settle();
        assertThat(kind(simulation.ask(successor, CALL))).isEqualTo(atOnce);
        assertThat(kind(simulation.ask(second, CALL))).isEqualTo(atOnce);
        simulation.nowMicros += ClaimSimulation.SETTINGS.presumedRunningMicros();
        assertThat(kind(simulation.ask(second, CALL))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * Failure: a companion is paused after its claim reached the log. The caller's deadline passes, or even the key's
     * retention, and another companion runs the key again; then the first resumes and runs its old claim too.
     */
    @ParameterizedTest
    @ValueSource(longs = {2 * ClaimSimulation.MICROS_PER_SECOND, 2 * ClaimSimulation.KEY_RETENTION_MICROS})
    void aCompanionThatResumesAfterAPauseDoesNotRunItsOldClaim(long pauseMicros) {
        AttemptId old = simulation.ask(first, CALL);
        deliver();
        first.paused = true;
        simulation.nowMicros += pauseMicros;
        first.read(10, simulation.nowMicros);

        assertThat(kind(old)).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        assertThat(simulation.runs).isEmpty();
    }

    /**
     * Failure: a companion reads its claim back only after a long pause, in which the key expired and ran again
     * elsewhere. A retry that uses the old claim would run the call a second time.
     */
    @Test
    void aClaimThatIsReadBackLateIsNotUsedForARetry() {
        AttemptId cancelled = simulation.ask(first, CALL);
        deliver();
        first.completeOldestAppend(new AppendResult.Appended(1), simulation.nowMicros);
        first.claims.cancel(cancelled);
        simulation.nowMicros += ClaimSimulation.KEY_RETENTION_MICROS;
        AttemptId retry = simulation.ask(first, CALL);
        assertThat(simulation.decisions).as("held for the old claim").isEmpty();
        first.read(10, simulation.nowMicros);

        assertThat(kind(retry)).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
    }

    /**
     * Failure: a key is released, claimed again and running when a late copy of the release arrives. A reader that
     * applies the copy frees the key, and another companion runs the call a second time.
     */
    @Test
    void aLateDuplicateOfAReleaseDoesNotFreeARunningKey() {
        AttemptId cancelled = simulation.ask(first, CALL);
        deliver();
        first.completeOldestAppend(new AppendResult.Unknown(), simulation.nowMicros);
        first.claims.cancel(cancelled);
        first.read(10, simulation.nowMicros);
        simulation.nowMicros += SimulatedCompanion.WRITER_SETTINGS.minSendIntervalMicros();
        first.tick(simulation.nowMicros);
        first.completeOldestAppend(new AppendResult.Unknown(), simulation.nowMicros);
        first.read(10, simulation.nowMicros);
        simulation.nowMicros += SimulatedCompanion.WRITER_SETTINGS.readBackTimeoutMicros();
        first.tick(simulation.nowMicros);
        assertThat(simulation.log.inFlight()).as("two copies of the release").isEqualTo(2);
        simulation.log.deliver(1, simulation.nowMicros);
        first.read(10, simulation.nowMicros);
        AttemptId retry = simulation.ask(first, CALL);
        simulation.nowMicros += SimulatedCompanion.WRITER_SETTINGS.minSendIntervalMicros();
        first.tick(simulation.nowMicros);
        simulation.log.deliver(1, simulation.nowMicros);
        first.read(10, simulation.nowMicros);
        assertThat(simulation.decisions.get(retry)).isInstanceOf(KeyDecision.Run.class);

        deliver();
        second.read(10, simulation.nowMicros);
        assertThat(kind(simulation.ask(second, CALL))).isEqualTo(ErrorKind.KEY_IN_PROGRESS);
    }

    /**
     * A companion is paused for longer than the log retains records. The missed records are older than any key, but
     * claims between the gap and the end are still valid.
     */
    @Test
    void afterMissingRecordsNothingIsClaimedUntilTheLogIsReadToItsEnd() {
        claimAndRead(second, 1);
        simulation.nowMicros += ClaimSimulation.LOG_RETENTION_MICROS;
        claimAndRead(second, 2);
        claimAndRead(second, 3);
        first.read(1, simulation.nowMicros);
        assertThat(kind(simulation.ask(first, CALL))).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        first.read(10, simulation.nowMicros);
        assertThat(simulation.decisions).doesNotContainKey(simulation.ask(first, CALL));
    }

    /** Failure: a claim appears in the log after its claimant dropped it, which blocks the key until it expires. */
    @Test
    void aClaimThatIsReadBackAfterItsKeyWasDroppedIsReleased() {
        AttemptId cancelled = simulation.ask(first, CALL);
        first.completeOldestAppend(new AppendResult.Unknown(), simulation.nowMicros);
        first.claims.cancel(cancelled);
        simulation.nowMicros += ClaimSimulation.SETTINGS.logRetentionMicros() + 1;
        first.tick(simulation.nowMicros);
        assertThat(first.claims.isDrained()).isTrue();
        simulation.settle();
        AttemptId elsewhere = simulation.ask(second, CALL);
        simulation.settle();

        assertThat(simulation.decisions.get(elsewhere)).isInstanceOf(KeyDecision.Run.class);
    }

    @Test
    void theSameKeyWithAnotherRequestIsRefusedBeforeDuringAndAfterTheRun() {
        KeyedCall other = ClaimSimulation.call(0, 1);
        simulation.ask(first, CALL);
        assertThat(kind(simulation.ask(first, other))).isEqualTo(ErrorKind.KEY_REUSED);
        deliver();
        first.read(10, simulation.nowMicros);
        assertThat(kind(simulation.ask(first, other))).isEqualTo(ErrorKind.KEY_REUSED);
        simulation.settle();
        assertThat(kind(simulation.ask(second, other))).isEqualTo(ErrorKind.KEY_REUSED);
    }

    /**
     * Failure: callers hang during an outage of the log. Calls that can't be claimed must be refused at once, and
     * recorded answers must still be replayed.
     */
    @Test
    void whileTheLogIsDownNewKeysAreRefusedAtOnceAndRecordedAnswersAreReplayed() {
        simulation.ask(first, CALL);
        simulation.settle();
        simulation.log.down = true;
        first.read(10, simulation.nowMicros);
        second.read(10, simulation.nowMicros);

        assertThat(kind(simulation.ask(first, ClaimSimulation.call(1, 0)))).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        assertThat(simulation.decisions.get(simulation.ask(second, CALL))).isInstanceOf(KeyDecision.Replay.class);
    }

    @Test
    void nothingRunsBeforeTheClaimsAreReadToTheirEnd() {
        simulation.ask(second, CALL);
        simulation.settle();
        SimulatedCompanion late = simulation.start("companion-9");
        simulation.companions.set(0, late);
        late.read(1, simulation.nowMicros);

        assertThat(kind(simulation.ask(late, ClaimSimulation.call(1, 0)))).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
        simulation.settle();
        assertThat(simulation.decisions.get(simulation.ask(late, CALL))).isInstanceOf(KeyDecision.Replay.class);
    }

    @Test
    void aCallThatNeverReachedItsTargetReleasesItsKey() {
        simulation.ask(first, CALL);
        deliver();
        first.read(10, simulation.nowMicros);
        simulation.end(first, "not run");
        AttemptId here = simulation.ask(first, CALL);
        assertThat(simulation.decisions).doesNotContainKey(here);
        simulation.settle();
        assertThat(simulation.decisions.get(here)).isInstanceOf(KeyDecision.Run.class);
        assertThat(simulation.runs.get(CALL.key())).hasSize(1);
    }

    @Test
    void anAnswerAboveTheLimitIsRecordedAsStatusOnly() {
        AttemptId attempt = simulation.ask(first, CALL);
        deliver();
        first.read(10, simulation.nowMicros);
        first.running.clear();
        first.claims.recordAnswer(
                attempt, 201, List.of(), new byte[ClaimSimulation.SETTINGS.maxRecordedBodyBytes() + 1]);
        simulation.settle();

        KeyedDecision replay = new KeyedDecision(
                second.claims.admit(new AttemptId(2, 1, 1), CALL, EventTime.certain(simulation.nowMicros), 0));
        assertThat(replay.answer().status()).isEqualTo(201);
        assertThat(replay.answer().body()).isEmpty();
        assertThat(replay.answer().isComplete()).isFalse();
    }

    private record KeyedDecision(KeyDecision decision) {
        RecordedAnswer answer() {
            return ((KeyDecision.Replay) decision).answer();
        }
    }

    private void claimAndRead(SimulatedCompanion companion, int key) {
        simulation.ask(companion, ClaimSimulation.call(key, 0));
        deliver();
        companion.read(10, simulation.nowMicros);
        simulation.nowMicros += SimulatedCompanion.WRITER_SETTINGS.minSendIntervalMicros();
    }

    private void deliver() {
        simulation.log.deliver(0, simulation.nowMicros);
    }

    private ErrorKind kind(AttemptId attempt) {
        KeyDecision decision = simulation.decisions.get(attempt);
        assertThat(decision).isInstanceOf(KeyDecision.Refuse.class);
        return ((KeyDecision.Refuse) decision).refusal().kind();
    }
}
