package org.rattanrudder.core.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.RunState;

class TombstonesTest {
    private final Tombstones tombstones = new Tombstones(2);

    /**
     * A dispatch is delayed until its tombstone has been evicted. It still must not run, and an attempt that may have
     * run is never reported as not run.
     */
    @Test
    void evictedAttemptIsRefusedAndNeverReportedNotRunIfItMayHaveRun() {
        tombstones.add(id(1), ErrorKind.OUTCOME_UNKNOWN);
        tombstones.add(id(2), ErrorKind.OVERLOADED);
        tombstones.add(id(3), ErrorKind.OVERLOADED);
        tombstones.add(id(4), ErrorKind.OVERLOADED);

        assertThat(tombstones.size()).isEqualTo(2);
        assertThat(tombstones.find(id(1))).contains(ErrorKind.OUTCOME_UNKNOWN);
        assertThat(tombstones.find(id(2))).contains(ErrorKind.STALE_INCARNATION);
        assertThat(tombstones.find(id(3))).contains(ErrorKind.OVERLOADED);
        assertThat(tombstones.find(id(5))).isEmpty();
    }

    @Property(seed = "51", tries = 200)
    void endedAttemptsStayRefusedAndAreNeverReportedNotRunIfTheyMayHaveRun(@ForAll long randomSeed) {
        Random random = new Random(randomSeed);
        Tombstones limited = new Tombstones(1 + random.nextInt(8));
        Map<AttemptId, ErrorKind> ended = new HashMap<>();
        for (int step = 0; step < 100; step++) {
            AttemptId attempt = new AttemptId(random.nextInt(3), random.nextInt(60), 1 + random.nextInt(2));
            ErrorKind kind = random.nextBoolean() ? ErrorKind.OVERLOADED : ErrorKind.OUTCOME_UNKNOWN;
            if (limited.find(attempt).isEmpty()) {
                limited.add(attempt, kind);
                ended.put(attempt, kind);
            }
            ended.forEach((past, recorded) -> assertThat(limited.find(past))
                    .hasValueSatisfying(reported -> assertThat(
                                    reported.runState() == RunState.UNKNOWN || recorded.runState() == RunState.NOT_RUN)
                            .as("%s ended as %s and is reported as %s", past, recorded, reported)
                            .isTrue()));
        }
    }

    @Test
    void floorsOfOneEntryDoNotAffectAnother() {
        for (int sequence = 1; sequence <= 9; sequence++) {
            tombstones.add(id(sequence), ErrorKind.OUTCOME_UNKNOWN);
        }
        assertThat(tombstones.find(new AttemptId(101, 1, 1))).isEmpty();
    }

    private static AttemptId id(long sequence) {
        return new AttemptId(100, sequence, 1);
    }
}
