package org.rattanrudder.core.parts;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RetiredWeightsModelTest {
    private static final long LAST_VIEW_AT = RetiredWeightsModel.NAMED_AT + 10_500;

    /** Guards against parts that are evicted during a fetch, whatever links, the log, freezes and restarts do. */
    @Property(tries = 150, seed = "63")
    void noPartIsEvictedDuringAFetch(@ForAll long seed, @ForAll @IntRange(min = 1, max = 7) int relays) {
        RetiredWeightsModel model = new RetiredWeightsModel(seed, relays, false);
        model.play();

        assertThat(model.lastFetchEnd()).isLessThanOrEqualTo(model.firstEvictionAt());
    }

    /** Guards against stores that stay full of old parts while a minority is in trouble. */
    @Property(tries = 60, seed = "64")
    void oldPartsAreEvictedInTimeWhileAMajorityIsCalm(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 7) int relays) {
        RetiredWeightsModel model = new RetiredWeightsModel(seed, relays, true);
        model.play();

        assertThat(model.lastFetchEnd()).isLessThanOrEqualTo(model.firstEvictionAt());
        assertThat(model.firstEvictionAt())
                .isLessThanOrEqualTo(LAST_VIEW_AT + RetiredWeights.MIN_WAIT_AFTER_MAJORITY_MILLIS + 1_000);
    }
}
