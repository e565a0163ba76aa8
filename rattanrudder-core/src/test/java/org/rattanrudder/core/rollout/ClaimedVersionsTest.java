package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class ClaimedVersionsTest {
    private final DesiredVersions versions = new DesiredVersions();
    private final ClaimedVersions claims = new ClaimedVersions(versions, () -> 10);

    /** Guards against a memory that grows with each odd claim. */
    @Test
    void theOldestClaimsAreForgotten() {
        versions.add("m", 1, 0);

        LongStream.rangeClosed(2, ClaimedVersions.MAX_CLAIMS + 2).forEach(version -> claims.onClaimed("m", version));

        assertThat(claims.mayBePublished("m", 2)).isFalse();
        assertThat(claims.mayBePublished("m", 3)).isTrue();
        assertThat(claims.mayBePublished("m", ClaimedVersions.MAX_CLAIMS + 2)).isTrue();
    }
}
