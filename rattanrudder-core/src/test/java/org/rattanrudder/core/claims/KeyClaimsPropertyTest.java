package org.rattanrudder.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;

class KeyClaimsPropertyTest {
    private static final int STEPS = 400;

    /**
     * A driver is charged twice, or told "not run" for fuel that is charged later: companions crash, freeze and
     * restart, appends are refused, delayed, doubled and lost, the log is down, records and keys expire. The world
     * fails as soon as a key runs again within its retention, an attempt gets two decisions, or a repeat another
     * answer.
     */
    @Property(seed = "31", tries = 600)
    void noKeyRunsTwiceAndRepeatsGetTheSameAnswer(@ForAll long seed) {
        ClaimWorld world = new ClaimWorld(seed);
        for (int step = 0; step < STEPS; step++) {
            world.step();
        }
        world.settle();

        checkSettled(world);
        checkDecisions(world);
        world.now += ClaimWorld.CLAIMS.logRetentionMicros();
        world.settle();
        checkDecisions(world);
        assertThat(world.companions).allMatch(companion -> companion.claims.isDrained());
    }

    /** Once all is well, each companion has a final answer for each key, and no key stays blocked. */
    private static void checkDecisions(ClaimWorld world) {
        for (SimulatedCompanion companion : world.companions) {
            for (int key = 0; key < 3; key++) {
                AttemptId attempt = world.ask(companion, ClaimWorld.call(key, 0));
                world.settle();
                assertThat(isFinal(world.decisions.get(attempt)) || companion.skipped)
                        .as("%s", world.decisions.get(attempt))
                        .isTrue();
            }
        }
    }

    /** The log tells the end of every run and claim, but for companions that missed records in a long freeze. */
    private static void checkSettled(ClaimWorld world) {
        for (SimulatedCompanion companion : world.companions) {
            assertThat(companion.skipped || companion.claims.isDrained()).isTrue();
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
