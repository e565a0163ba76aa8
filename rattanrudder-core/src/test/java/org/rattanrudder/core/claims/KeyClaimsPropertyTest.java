package org.rattanrudder.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;

class KeyClaimsPropertyTest {
    private static final int STEPS = 400;

    /**
     * Failure: a call runs twice, or runs after it was answered "not run". Companions crash, pause and restart, appends
     * are refused, delayed, duplicated and lost, the log goes down, records and keys expire. The simulation fails if a
     * key runs again within its retention, an attempt gets two decisions, or a retry gets another answer.
     */
    @Property(seed = "31", tries = 600)
    void noKeyRunsTwiceAndRetriesGetTheSameAnswer(@ForAll long seed) {
        ClaimSimulation simulation = new ClaimSimulation(seed);
        for (int step = 0; step < STEPS; step++) {
            simulation.step();
        }
        simulation.settle();

        assertDrained(simulation);
        assertFinalDecisions(simulation);
        simulation.nowMicros += ClaimSimulation.SETTINGS.logRetentionMicros();
        simulation.settle();
        assertFinalDecisions(simulation);
        assertThat(simulation.companions).allMatch(companion -> companion.claims.isDrained());
    }

    /** Without faults, each companion has a final decision for each key, and no key stays blocked. */
    private static void assertFinalDecisions(ClaimSimulation simulation) {
        for (SimulatedCompanion companion : simulation.companions) {
            for (int key = 0; key < 3; key++) {
                AttemptId attempt = simulation.ask(companion, ClaimSimulation.call(key, 0));
                simulation.settle();
                assertThat(isFinal(simulation.decisions.get(attempt)) || companion.missedRecords)
                        .as("%s", simulation.decisions.get(attempt))
                        .isTrue();
            }
        }
    }

    /**
     * The log has the outcome of every run and claim, except at companions that missed records during a long pause.
     */
    private static void assertDrained(ClaimSimulation simulation) {
        for (SimulatedCompanion companion : simulation.companions) {
            assertThat(companion.missedRecords || companion.claims.isDrained()).isTrue();
        }
    }

    private static boolean isFinal(KeyDecision decision) {
        if (decision instanceof KeyDecision.Refuse refuse) {
            ErrorKind kind = refuse.refusal().kind();
            return kind == ErrorKind.KEY_REUSED
                    || kind == ErrorKind.OUTCOME_UNKNOWN
                    || kind == ErrorKind.KEY_IN_PROGRESS;
        }
        return decision != null;
    }
}
