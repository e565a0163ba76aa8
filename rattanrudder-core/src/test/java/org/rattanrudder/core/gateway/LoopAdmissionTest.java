package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays a loop that handles in each iteration what has arrived during the one before. */
class LoopAdmissionTest {
    private static final int STEPS = 4;
    private static final double REJECTION_MILLIS = 2;
    private static final double LENGTH_MILLIS = 20_000;

    /** A request that has been through some of its steps. */
    private record Request(double arrivedAt, int steps) {}

    private record Outcome(int arrived, int onTime) {
        double share() {
            return (double) onTime / arrived;
        }
    }

    private static Outcome play(double perSecond, double serveMillis, long objective, boolean limited) {
        LoopAdmission admission = new LoopAdmission();
        Deque<Request> open = new ArrayDeque<>();
        double now = 0;
        double nextArrival = 0;
        int arrived = 0;
        int onTime = 0;
        while (now < LENGTH_MILLIS) {
            List<Request> batch = new ArrayList<>(open);
            open.clear();
            for (; nextArrival <= now; nextArrival += 1_000 / perSecond) {
                arrived++;
                batch.add(new Request(nextArrival, 0));
            }
            double began = now;
            for (Request request : batch) {
                if (limited && request.steps() == 0 && !admission.admits(objective)) {
                    now += REJECTION_MILLIS;
                    continue;
                }
                now += serveMillis / STEPS;
                if (request.steps() + 1 < STEPS) {
                    open.add(new Request(request.arrivedAt(), request.steps() + 1));
                } else if (now - request.arrivedAt() <= objective) {
                    onTime++;
                }
            }
            now = Math.max(now, began + 1);
            admission.onProbe((long) (now - began));
        }
        return new Outcome(arrived, onTime);
    }

    /** Guards against a relay that reads more than it can handle and answers all of it late. */
    @ParameterizedTest
    @CsvSource({"60, 30, 500", "100, 30, 500", "60, 30, 150", "200, 8, 1000"})
    void overloadedLoopServesMostOfWhatItCan(double perSecond, double serveMillis, long objective) {
        double capacity = 1_000 / serveMillis / perSecond;

        assertThat(play(perSecond, serveMillis, objective, false).share()).isLessThan(0.1);
        assertThat(play(perSecond, serveMillis, objective, true).share()).isGreaterThan(0.5 * capacity);
    }

    @Test
    void loopThatKeepsUpTakesOnEverything() {
        assertThat(play(20, 30, 500, true).share()).isGreaterThan(0.99);
    }

    /** Guards against a single long iteration after which a relay would reject for long. */
    @Test
    void longIterationIsForgottenWithinFewProbes() {
        LoopAdmission admission = new LoopAdmission();
        admission.onProbe(1_000);
        assertThat(admission.admits(500)).isFalse();
        for (int probe = 0; probe < 6; probe++) {
            admission.onProbe(0);
        }

        assertThat(admission.admits(500)).isTrue();
    }
}
