package org.rattanrudder.core.parts;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PartRetirementTest {
    private static final long WAIT = PartRetirement.WAIT_MILLIS;

    private final PartRetirement retirement = new PartRetirement();

    /**
     * Weights were replaced, and prompts read under the new ones found stores full of the old ones' parts for ten
     * seconds: 390 of 710 thousand tokens that were read again on one day had found no room.
     */
    @Test
    void partsAreFreedOnceNoFetchOfThemCanGoOn() {
        retirement.updateOldestServed(1, 0);
        retirement.updateOldestServed(2, 5_000);

        assertThat(retirement.evictableBefore(5_000 + WAIT - 1)).isEqualTo(1);
        assertThat(retirement.evictableBefore(5_000 + WAIT)).isEqualTo(2);
    }

    /** An engine loses power while it fetches and starts again with the weights that it had. */
    @Test
    void anEngineThatComesBackWithOldWeightsKeepsTheirParts() {
        retirement.updateOldestServed(2, 0);
        retirement.updateOldestServed(1, 100);
        assertThat(retirement.evictableBefore(100 + WAIT)).isEqualTo(1);

        retirement.updateOldestServed(2, 200);
        assertThat(retirement.evictableBefore(200 + WAIT - 1)).isEqualTo(1);
        assertThat(retirement.evictableBefore(200 + WAIT)).isEqualTo(2);
    }

    /** A second version is named before the first is everywhere: the oldest parts needn't wait for it. */
    @Test
    void eachVersionsPartsAreFreedByThemselves() {
        retirement.updateOldestServed(1, 0);
        retirement.updateOldestServed(2, 4_000);
        retirement.updateOldestServed(2, 6_000);
        retirement.updateOldestServed(3, 6_100);

        assertThat(retirement.evictableBefore(4_000 + WAIT)).isEqualTo(2);
        assertThat(retirement.evictableBefore(6_100 + WAIT)).isEqualTo(3);
    }

    @Test
    void nothingIsFreedWhileTheWeightsAreUnknown() {
        retirement.updateOldestServed(0, 0);
        assertThat(retirement.evictableBefore(60_000)).isZero();

        retirement.updateOldestServed(2, 60_000);
        retirement.updateOldestServed(0, 60_001);
        assertThat(retirement.evictableBefore(120_000)).isZero();
    }
}
