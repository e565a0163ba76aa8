package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ReportScheduleTest {
    private static final int ROUNDS_PER_MINUTE = (int) (60_000 / ReportSchedule.ROUND_MILLIS);

    /** Maximum number of messages a second to a large fleet, in the same failure domain and in others. */
    private static final int MAX_PER_SECOND = 100;

    private ReportSchedule schedule = new ReportSchedule();
    private long now = 100_000;

    private void register(int near, int far) {
        for (int number = 0; number < near; number++) {
            schedule.addRelay("near-" + number, "here", true, now);
        }
        for (int number = 0; number < far; number++) {
            schedule.addRelay("far-" + number, "there", false, now);
        }
    }

    private List<ReportSchedule.Due> round(int near, int far) {
        now += ReportSchedule.ROUND_MILLIS;
        for (int number = 0; number < near; number++) {
            schedule.onReport("near-" + number, now);
        }
        for (int number = 0; number < far; number++) {
            schedule.onReport("far-" + number, now);
        }
        return schedule.nextRound(now);
    }

    /**
     * Guards against a number of messages that grows with the square of the fleet, and against peers that get reports
     * too rarely.
     */
    @Property(tries = 60)
    void everyPeerIsReportedToOnScheduleAndMessagesAreBounded(
            @ForAll @IntRange(max = 120) int near, @ForAll @IntRange(max = 300) int far) {
        schedule = new ReportSchedule();
        register(near, far);
        Map<String, Long> reportedAt = new HashMap<>();
        Map<String, Long> announcedInterval = new HashMap<>();
        int messages = 0;
        for (int count = 0; count < ROUNDS_PER_MINUTE; count++) {
            for (ReportSchedule.Due due : round(near, far)) {
                messages += due.relays().size();
                for (String relay : due.relays()) {
                    Long before = reportedAt.put(relay, now);
                    if (before != null) {
                        assertThat(now - before).isEqualTo(announcedInterval.get(relay));
                    }
                    announcedInterval.put(relay, due.intervalMillis());
                }
            }
        }

        assertThat(reportedAt).hasSize(near + far);
        assertThat(messages / 60).isLessThanOrEqualTo(MAX_PER_SECOND);
    }

    /** Guards against a relay that believes reports for longer than one in a domain of another size waits for it. */
    @Property(tries = 60)
    void longestIntervalIsTheSameForRelaysInDomainsOfAnySize(
            @ForAll @IntRange(max = 120) int near, @ForAll @IntRange(max = 300) int far) {
        ReportSchedule other = new ReportSchedule();
        for (int number = 0; number < near + far; number++) {
            other.addRelay("relay-" + number, "there", false, now);
        }
        schedule = new ReportSchedule();
        register(near, far);

        assertThat(schedule.longestIntervalMillis()).isEqualTo(other.longestIntervalMillis());
        assertThat(round(near, far)).allMatch(due -> due.intervalMillis() <= schedule.longestIntervalMillis());
    }

    @Test
    void peersInSameFailureDomainGetReportsMoreOften() {
        register(7, 26);
        Map<String, Integer> reports = new HashMap<>();
        for (int count = 0; count < ROUNDS_PER_MINUTE; count++) {
            round(7, 26).forEach(due -> due.relays().forEach(relay -> reports.merge(relay, 1, Integer::sum)));
        }

        assertThat(reports.get("near-3")).isEqualTo(300);
        assertThat(reports.get("far-3")).isEqualTo(75);
    }

    /**
     * Guards against messages to relays that stopped long ago, and against a peer that never gets a report after its
     * start.
     */
    @Test
    void unresponsivePeerGetsReportsRarely() {
        schedule.addRelay("unresponsive", "here", true, now);
        schedule.addRelay("live", "here", true, now);
        List<String> reported = new ArrayList<>();
        for (int count = 0; count < 100; count++) {
            now += ReportSchedule.ROUND_MILLIS;
            schedule.onReport("live", now);
            schedule.nextRound(now).forEach(due -> reported.addAll(due.relays()));
        }

        assertThat(reported.stream().filter("live"::equals)).hasSize(100);
        assertThat(reported.stream().filter("unresponsive"::equals)).hasSize(10);
        assertThat(schedule.liveRelayDomains(now)).containsOnlyKeys("live");
    }

    @Test
    void removedPeerGetsNoReports() {
        register(1, 0);
        schedule.removeRelay("near-0");
        schedule.onReport("near-0", now);

        assertThat(schedule.nextRound(now)).isEmpty();
        assertThat(schedule.isLive("near-0", now)).isFalse();
    }

    /** Guards against relays that don't discover each other for seconds after all of them have restarted. */
    @Property(tries = 30)
    void newPeerGetsReportInFirstTurnAndEverySecondAfter(@ForAll @IntRange(max = 40) int rounds, @ForAll boolean near) {
        schedule = new ReportSchedule();
        register(7, 26);
        for (int count = 0; count < rounds; count++) {
            round(7, 26);
        }
        schedule.addRelay("later", near ? "here" : "there", near, now);
        List<Long> reportedAt = new ArrayList<>(List.of(now));
        for (int count = 0; count < 50; count++) {
            for (ReportSchedule.Due due : round(7, 26)) {
                if (due.relays().contains("later")) {
                    reportedAt.add(now);
                }
            }
        }

        for (int index = 1; index < reportedAt.size(); index++) {
            assertThat(reportedAt.get(index) - reportedAt.get(index - 1)).isLessThanOrEqualTo(1_000);
        }
        assertThat(reportedAt).hasSizeGreaterThan(4);
    }
}
