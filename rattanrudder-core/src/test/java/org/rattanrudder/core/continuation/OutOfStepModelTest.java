package org.rattanrudder.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.rattanrudder.core.continuation.OutOfStepModel.Guard;

/** Relays that are out of step while other software joins, with the users' rule as the oracle. */
class OutOfStepModelTest {
    private static final int STEPS = 400;
    private static final int SEEDS = 400;

    private static int joined(long seed, Set<Guard> guards) {
        OutOfStepModel model = new OutOfStepModel(seed, guards);
        for (int step = 0; step < STEPS; step++) {
            model.step();
        }
        return model.joinedStreams();
    }

    /** Guards against events of two versions in one stream, whatever a relay has missed, or reads late. */
    @Property(tries = 400)
    void noStreamGoesOnAtOtherSoftware(@ForAll long seed) {
        assertThat(joined(seed, EnumSet.allOf(Guard.class))).isZero();
    }

    /** Guards against a model that couldn't show what each part of the proof is for. */
    @ParameterizedTest
    @EnumSource(Guard.class)
    void withoutAnyPartOfTheProofStreamsAreJoined(Guard missing) {
        int joined = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            joined += joined(seed, EnumSet.complementOf(EnumSet.of(missing)));
        }

        assertThat(joined).isPositive();
    }

    /** Guards against callers who are turned away where all was read and one software served. */
    @Test
    void whereAllIsReadAndOneSoftwareServesStreamsGoOn() {
        OutOfStepModel model = new OutOfStepModel(1, EnumSet.allOf(Guard.class));

        model.serveInCalm(STEPS);

        assertThat(model.resumptions()).isGreaterThan(STEPS / 2);
        assertThat(model.continued()).isEqualTo(model.resumptions());
    }
}
