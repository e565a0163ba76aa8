package org.rattanrudder.daemon.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LoggedReasonsTest {
    private final LoggedReasons logged = new LoggedReasons();

    /** Guards against a log that one writer fills, who rewrites an odd record each second. */
    @Test
    void aReasonIsNewOnceForEachKey() {
        assertThat(logged.add("a", "no port")).isTrue();
        assertThat(logged.add("a", "no port")).isFalse();
        assertThat(logged.add("a", "no zone")).isTrue();
        assertThat(logged.add("a", "no port")).isFalse();
        assertThat(logged.add("b", "no port")).isTrue();
    }

    /** Guards against memory that ever new keys take for good. */
    @Test
    void theOldestIsForgotten() {
        logged.add("first", "no port");
        for (int key = 0; key < LoggedReasons.MAX_REMEMBERED; key++) {
            assertThat(logged.add("key-" + key, "no port")).isTrue();
        }

        assertThat(logged.add("first", "no port")).isTrue();
        assertThat(logged.add("key-255", "no port")).isFalse();
    }
}
