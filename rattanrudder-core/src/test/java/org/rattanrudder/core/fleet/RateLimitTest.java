package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.fleet.LoadReport.SeenRateLimit;
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

    private static SeenRateLimit seen(double requestsPerSecond, long sentAgeMillis, long receivedAgeMillis) {
        OptionalDouble limit = requestsPerSecond < 0 ? OptionalDouble.empty() : OptionalDouble.of(requestsPerSecond);
        return new SeenRateLimit("i-1", limit, sentAgeMillis, receivedAgeMillis);
    }

    /** Guards against reports that come late and take back what this relay has seen since; -1 is no limit. */
    @ParameterizedTest
    @CsvSource({
        "-1, 850, 800, -1",
        "-1, 950, 800, 2",
        "5, 850, 800, 5",
        "5, 950, 800, 2",
        "1, 950, 800, 1",
        "1, 1100, 1050, 2",
    })
    void reportsOfPeersHoldIfTheyAreNewer(double reported, long sentAge, long receivedAge, double expected) {
        limited(2, SENT, NAMED);

        limit.applyReport(seen(reported, sentAge, receivedAge), 2_000);

        assertThat(limit.requestsPerSecond().orElse(-1)).isEqualTo(expected);
    }

    /** Guards against relays that keep a limit alive by telling each other what they have heard of each other. */
    @Test
    void onlyWhatThisRelaySawItselfIsReported() {
        limited(2, SENT, NAMED);
        assertThat(limit.toReport("i-1", 2_000)).contains(seen(2, 1_000, 900));

        limit.applyReport(seen(2, 500, 400), 2_000);
        assertThat(limit.toReport("i-1", 2_000)).isEmpty();
    }

    @Test
    void endOfLimitIsReportedForAWhile() {
        limited(2, SENT, NAMED);
        limit.onResponse(new NotLimited(), true, 1_200, 1_300);

        assertThat(limit.toReport("i-1", 2_000)).contains(seen(-1, 800, 700));
        assertThat(limit.toReport("i-1", 100_000)).isEmpty();
    }

    @Test
    void unreadableLimitChangesNothing() {
        limited(2, SENT, NAMED);

        limit.onResponse(new Unreadable(), true, 1_500, 2_000);

        assertThat(limit.requestsPerSecond()).hasValue(2);
    }
}
