package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WeightsAdmissionTest {
    private static final long BOUND = 15_000;

    private final DesiredVersions versions = new DesiredVersions();
    private final WeightsAdmission admission = new WeightsAdmission(versions, () -> BOUND);

    private void name(long version, long at) {
        versions.onReadToEnd(at);
        versions.add("m", version, at + 10);
    }

    @ParameterizedTest
    @CsvSource({"1, 0, true", "1, 12999, true", "1, 13000, false", "2, 13000, true"})
    void requestsAreSentToOlderWeightsUntilSomeTimeBeforeTheBound(long version, long now, boolean sent) {
        name(2, 0);

        assertThat(version >= admission.oldestToSend("m", now)).isEqualTo(sent);
    }

    /** Each request that was sent must have begun before the first newer version's bound, whichever is newest. */
    @ParameterizedTest
    @CsvSource({"1, 14500", "2, 18500", "3, 9223372036854775807"})
    void requestBeginsBeforeTheBoundOfTheFirstNewerVersion(long version, long until) {
        name(2, 0);
        name(3, 4_000);

        assertThat(admission.beginsUntil("m", version)).isEqualTo(until);
    }

    @Test
    void targetOfUnknownWeightsIsAskedForTheNewest() {
        assertThat(admission.versionToExpect("m", 0)).isZero();

        name(2, 0);

        assertThat(admission.versionToExpect("m", 0)).isEqualTo(2);
        assertThat(admission.versionToExpect("m", 1)).isEqualTo(1);
    }
}
