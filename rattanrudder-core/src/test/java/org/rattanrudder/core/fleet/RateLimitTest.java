package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.fleet.RateLimitNotice.Limited;
import org.rattanrudder.core.fleet.RateLimitNotice.NotLimited;
import org.rattanrudder.core.fleet.RateLimitNotice.Unreadable;

class RateLimitTest {
    private static final long SENT = 1_000;
    private static final long NAMED = 1_100;

    private final RateLimit limit = new RateLimit();

    private void limited(double requestsPerSecond, long sentAt, long nowMillis) {
        limit.onResponse(new Limited(requestsPerSecond), true, sentAt, nowMillis);
    }

    @Test
    void targetThatNamesNoLimitHasNone() {
        limit.onResponse(new NotLimited(), true, SENT, NAMED);

        assertThat(limit.requestsPerSecond()).isEmpty();
    }

    /** Guards against a limit that a response of before it, or a rejection, takes back. */
    @ParameterizedTest
    @CsvSource({"1200, true, false", "1050, true, true", "1100, true, true", "1200, false, true"})
    void onlyResponseToLaterRequestEndsLimit(long sentAt, boolean conclusive, boolean stays) {
        limited(2.3, SENT, NAMED);

        limit.onResponse(new NotLimited(), conclusive, sentAt, 2_000);

        assertThat(limit.requestsPerSecond().isPresent()).isEqualTo(stays);
    }

    /** Guards against a limit that was lowered meanwhile and rises by a response that is late. */
    @ParameterizedTest
    @CsvSource({"5, 1050, 2", "5, 1200, 5", "1, 1050, 1", "1, 1200, 1"})
    void onlyResponseToLaterRequestRaisesLimit(double named, long sentAt, double expected) {
        limited(2, SENT, NAMED);

        limited(named, sentAt, 2_000);

        assertThat(limit.requestsPerSecond()).hasValue(expected);
    }

    @Test
    void unreadableLimitChangesNothing() {
        limited(2, SENT, NAMED);

        limit.onResponse(new Unreadable(), true, 1_500, 2_000);

        assertThat(limit.requestsPerSecond()).hasValue(2);
    }
}
