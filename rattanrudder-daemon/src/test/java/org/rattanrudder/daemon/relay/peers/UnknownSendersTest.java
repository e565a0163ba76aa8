package org.rattanrudder.daemon.relay.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class UnknownSendersTest {
    private static final long NOW = 100_000;
    private static final long MINUTE_MILLIS = 60_000;

    private final UnknownSenders senders = new UnknownSenders();

    private long readsInAMinute(long from) {
        return LongStream.range(from, from + MINUTE_MILLIS)
                .filter(senders::leadToRead)
                .count();
    }

    /** Guards against a stranger without end whose every message leads to a call to the store. */
    @Test
    void readsThatFindNoRelayFollowEachOtherMoreAndMoreSlowly() {
        assertThat(readsInAMinute(NOW)).isEqualTo(7);
        assertThat(readsInAMinute(NOW + MINUTE_MILLIS)).isLessThanOrEqualTo(4);
    }

    /** Guards against relays that start later and stay unknown, since a stranger came before them. */
    @Test
    void aRegistrationBringsPromptReadsBack() {
        readsInAMinute(NOW);

        senders.onRegistration();

        long later = NOW + 2 * MINUTE_MILLIS;
        assertThat(senders.leadToRead(later)).isTrue();
        assertThat(senders.leadToRead(later + 999)).isFalse();
        assertThat(senders.leadToRead(later + 1_000)).isTrue();
    }
}
