package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.gateway.ReturnAdmission.CloseUnread;
import org.rattanrudder.core.gateway.ReturnAdmission.Read;
import org.rattanrudder.core.gateway.ReturnAdmission.Reason;
import org.rattanrudder.core.gateway.ReturnAdmission.Traits;
import org.rattanrudder.core.gateway.ReturnSimulation.Result;
import org.rattanrudder.core.gateway.ReturnSimulation.Way;

class ReturnAdmissionTest {
    private static final Traits TRAITS = new Traits(1, 10_000);
    private static final int SEEDS = 5;

    private final ReturnAdmission<String> admission = new ReturnAdmission<>(TRAITS, 0);

    private static Result simulate(Way way, double cores, boolean othersServe) {
        double[] served = new double[ReturnSimulation.SECONDS];
        double[] inTime = new double[ReturnSimulation.SECONDS];
        for (int seed = 1; seed <= SEEDS; seed++) {
            Result result = ReturnSimulation.run(way, TRAITS, cores, othersServe, seed);
            for (int second = 0; second < ReturnSimulation.SECONDS; second++) {
                served[second] += result.served()[second] / SEEDS;
                inTime[second] += result.inTime()[second] / SEEDS;
            }
        }
        return new Result(served, inTime);
    }

    @Test
    void newestIsReadFirstAndTheNextOnceItIsDone() {
        admission.onOpened("first", true, true, 0);
        admission.onOpened("second", true, true, 1);

        assertThat(admission.decide(true, 2)).containsExactly(new Read<>("second"));
        assertThat(admission.decide(true, 3)).isEmpty();
        admission.onDone();
        assertThat(admission.decide(true, 4)).containsExactly(new Read<>("first"));
    }

    @Test
    void connectionIsReadAtOnceWhileNoneWaitsAndTheLoopIsNotLate() {
        assertThat(admission.onOpened("first", false, true, 0)).isTrue();
        assertThat(admission.isWaiting()).isFalse();
    }

    /** Guards against a connection that overtakes those that wait when the loop is no longer late. */
    @Test
    void connectionWaitsWhileOthersDo() {
        admission.onOpened("first", true, true, 0);

        assertThat(admission.onOpened("second", false, true, 1)).isFalse();
    }

    @Test
    void connectionThatWaitedTooLongIsClosedUnread() {
        admission.onOpened("first", true, true, 0);
        admission.onOpened("second", true, true, 1);
        admission.decide(true, 2);

        assertThat(admission.decide(true, 10_000)).containsExactly(new CloseUnread<>("first", Reason.WAITED, 10_000));
        assertThat(admission.isWaiting()).isFalse();
    }

    /** Guards against callers that are never told that the store is unavailable. */
    @Test
    void withoutAConfigurationConnectionsWaitAtFirstAndAreReadLater() {
        admission.onOpened("first", true, false, 0);

        assertThat(admission.decide(false, ReturnAdmission.MAX_UNREADY_MILLIS - 1))
                .isEmpty();
        assertThat(admission.decide(false, ReturnAdmission.MAX_UNREADY_MILLIS)).containsExactly(new Read<>("first"));
    }

    @Test
    void connectionIsClosedWithItsReasonWhileTheRelayIsNotReady() {
        ReturnAdmission<String> impatient = new ReturnAdmission<>(new Traits(1, 100), 0);
        impatient.onOpened("first", true, false, 0);

        assertThat(impatient.decide(false, 100)).isEqualTo(List.of(new CloseUnread<>("first", Reason.NOT_READY, 100)));
    }

    /** Guards against a way that serves fewer callers than an alternative on the smallest machine. */
    @ParameterizedTest
    @EnumSource(names = "NEWEST_FIRST", mode = EnumSource.Mode.EXCLUDE)
    void servesAtLeastAsManyAsEachAlternativeWhenAllRelaysStart(Way alternative) {
        Result newestFirst = simulate(Way.NEWEST_FIRST, 0.27, false);
        Result other = simulate(alternative, 0.27, false);

        assertThat(newestFirst.meanInTime()).isGreaterThanOrEqualTo(other.meanInTime());
        assertThat(newestFirst.meanServed()).isGreaterThanOrEqualTo(other.meanServed());
    }

    /** Guards against a loss where relays are slower still, or where only one starts. */
    @ParameterizedTest
    @CsvSource({"0.12, false", "0.12, true", "0.27, true"})
    void servesAboutAsManyAsWithoutAdmission(double cores, boolean othersServe) {
        Result newestFirst = simulate(Way.NEWEST_FIRST, cores, othersServe);
        Result inOrder = simulate(Way.ALL_IN_ORDER, cores, othersServe);

        assertThat(newestFirst.meanInTime()).isGreaterThanOrEqualTo(inOrder.meanInTime() - 0.01);
        assertThat(newestFirst.meanServed()).isGreaterThanOrEqualTo(inOrder.meanServed() - 0.01);
    }

    /** Guards against a return to the usual share later than 4 s after the start, on the smallest machine. */
    @Test
    void usualShareIsServedFromTheFourthSecondOn() {
        Result result = simulate(Way.NEWEST_FIRST, 0.27, false);

        for (int second = 3; second < ReturnSimulation.SECONDS; second++) {
            assertThat(result.inTime()[second]).isGreaterThan(0.98);
        }
    }
}
