package org.rattanrudder.core.parts;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PartRetirementTest {
    private static final long WAIT = PartRetirement.WAIT_MILLIS;

    private final PartRetirement retirement = new PartRetirement();

    /**
     * After weights were replaced, stores stayed full of the old ones' parts for ten seconds: 390 of 710 thousand
     * tokens that were recomputed on one day had found no room.
     */
    @Test
    void partsAreEvictableAfterLastPossibleFetch() {
        retirement.update(1, 0);
        retirement.update(2, 5_000);

        assertThat(retirement.evictableBefore(5_000 + WAIT - 1)).isEqualTo(1);
        assertThat(retirement.evictableBefore(5_000 + WAIT)).isEqualTo(2);
    }

    /** An engine loses power while it fetches and restarts with the weights that it had. */
    @Test
    void engineRestartedWithOldWeightsKeepsTheirParts() {
        retirement.update(2, 0);
        retirement.update(1, 100);
        assertThat(retirement.evictableBefore(100 + WAIT)).isEqualTo(1);

        retirement.update(2, 200);
        assertThat(retirement.evictableBefore(200 + WAIT - 1)).isEqualTo(1);
        assertThat(retirement.evictableBefore(200 + WAIT)).isEqualTo(2);
    }

    /**
     * A second version becomes desired before all engines serve the first: eviction of the oldest parts need not wait
     * for it.
     */
    @Test
    void versionsBecomeEvictableIndependently() {
        retirement.update(1, 0);
        retirement.update(2, 4_000);
        retirement.update(2, 6_000);
        retirement.update(3, 6_100);

        assertThat(retirement.evictableBefore(4_000 + WAIT)).isEqualTo(2);
        assertThat(retirement.evictableBefore(6_100 + WAIT)).isEqualTo(3);
    }

    @Test
    void nothingIsEvictableWhileWeightsAreUnknown() {
        retirement.update(0, 0);
        assertThat(retirement.evictableBefore(60_000)).isZero();

        retirement.update(2, 60_000);
        retirement.update(0, 60_001);
        assertThat(retirement.evictableBefore(120_000)).isZero();
    }
}
