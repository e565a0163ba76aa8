package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.fleet.OverloadPlay.Call;
import org.rattanrudder.core.fleet.OverloadPlay.Settings;

class EarlyRejectionPlayTest {
    private static OverloadFigures play(boolean early, double urgentShare, double load, long seed) {
        return new OverloadFigures(OverloadPlay.play(new Settings(
                        early, early ? OverloadPlay.SLOT : OverloadPlay.RANDOM, urgentShare, second -> load, seed))
                .calls());
    }

    /**
     * An overloaded service serves late what it holds for too long. Rejected early, more callers are served on time,
     * the rest knows sooner, and no class, customer or size pays for it.
     */
    @ParameterizedTest
    @CsvSource({"0.3, 1.5, 1", "0.3, 1.5, 2", "0.3, 2.5, 3", "0.9, 1.5, 4", "0.6, 2, 5"})
    void overloadedServiceServesMoreOnTimeAndStarvesNoOne(double urgentShare, double load, long seed) {
        OverloadFigures before = play(false, urgentShare, load, seed);
        OverloadFigures early = play(true, urgentShare, load, seed);

        assertThat(early.onTime()).isGreaterThan(before.onTime() * 1.2);
        assertThat(early.waitOfRejected(0.5)).isLessThan(before.waitOfRejected(0.5) / 2);
        assertThat(early.ofPriority(0).served())
                .as("more urgent requests are served no less")
                .isGreaterThan(early.ofPriority(1).served());
        assertThat(early.ofPriority(0).onTime())
                .isGreaterThan(before.ofPriority(0).onTime());
        double patient = early.only(call -> !call.isHasty()).served();
        assertThat(Arrays.stream(early.servedByPatientCustomer()))
                .as("no customer that waits as told starves, however small")
                .allMatch(served -> served > patient * 0.75);
        assertThat(Arrays.stream(early.servedBySize()))
                .as("no size starves")
                .allMatch(served -> served > early.served() * 0.9);
        assertThat(early.only(Call::isHasty).served())
                .as("those that retry at once get more, but don't push the others out")
                .isLessThan(patient * 1.4);
    }

    /** Without overload hardly anything may be rejected: each rejection costs its caller a retry. */
    @ParameterizedTest
    @CsvSource({"0.3, 0.8, 1", "0.9, 0.8, 2", "0.3, 0.5, 3"})
    void serviceWithRoomRejectsNothing(double urgentShare, double load, long seed) {
        assertThat(play(true, urgentShare, load, seed).served()).isGreaterThan(0.998);
    }
}
