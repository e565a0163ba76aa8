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
    private static final int ROUNDS_OF_A_MINUTE = (int) (60_000 / ReportSchedule.ROUND_MILLIS);

    /** Messages a second to many relays, of the same failure domain and of others. */
    private static final int MOST_A_SECOND = 100;

    private ReportSchedule schedule = new ReportSchedule();
    private long now = 100_000;

    private void register(int near, int far) {
        for (int number = 0; number < near; number++) {
            schedule.addRelay("near-" + number, "here", true);
        }
        for (int number = 0; number < far; number++) {
            schedule.addRelay("far-" + number, "there", false);
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

    /** Guards against messages that grow with the square of the fleet, and against a relay that is told too rarely. */
    @Property(tries = 60)
    void eachRelayIsToldInTimeAndTheMessagesAreBounded(
            @ForAll @IntRange(max = 120) int near, @ForAll @IntRange(max = 300) int far) {
        schedule = new ReportSchedule();
        register(near, far);
        Map<String, Long> toldAt = new HashMap<>();
        Map<String, Long> promised = new HashMap<>();
        int messages = 0;
        for (int count = 0; count < ROUNDS_OF_A_MINUTE; count++) {
            for (ReportSchedule.Due due : round(near, far)) {
                messages += due.relays().size();
                for (String relay : due.relays()) {
                    Long before = toldAt.put(relay, now);
                    if (before != null) {
                        assertThat(now - before).isEqualTo(promised.get(relay));
                    }
                    promised.put(relay, due.intervalMillis());
                }
            }
        }

        assertThat(toldAt).hasSize(near + far);
        assertThat(messages / 60).isLessThanOrEqualTo(MOST_A_SECOND);
    }

    @Test
    void relaysOfTheSameFailureDomainHearMoreOften() {
        register(7, 26);
        Map<String, Integer> told = new HashMap<>();
        for (int count = 0; count < ROUNDS_OF_A_MINUTE; count++) {
            round(7, 26).forEach(due -> due.relays().forEach(relay -> told.merge(relay, 1, Integer::sum)));
        }

        assertThat(told.get("near-3")).isEqualTo(300);
        assertThat(told.get("far-3")).isEqualTo(75);
    }

    /** Guards against messages to relays that ended long ago, and against one that is never told after its start. */
    @Test
    void aSilentRelayIsToldNowAndThen() {
        schedule.addRelay("silent", "here", true);
        schedule.addRelay("heard", "here", true);
        List<String> told = new ArrayList<>();
        for (int count = 0; count < 100; count++) {
            now += ReportSchedule.ROUND_MILLIS;
            schedule.onReport("heard", now);
            schedule.nextRound(now).forEach(due -> told.addAll(due.relays()));
        }

        assertThat(told.stream().filter("heard"::equals)).hasSize(100);
        assertThat(told.stream().filter("silent"::equals)).hasSize(10);
        assertThat(schedule.liveRelayDomains(now)).containsOnlyKeys("heard");
    }

    @Test
    void aRelayThatIsGoneIsToldNothing() {
        register(1, 0);
        schedule.removeRelay("near-0");
        schedule.onReport("near-0", now);

        assertThat(schedule.nextRound(now)).isEmpty();
        assertThat(schedule.isLive("near-0", now)).isFalse();
    }

    /** Guards against relays that don't find each other for seconds after all of them have started again. */
    @Property(tries = 30)
    void aRelayThatIsRegisteredLaterIsToldAtItsFirstTurnAndEachSecondThen(
            @ForAll @IntRange(max = 40) int rounds, @ForAll boolean near) {
        schedule = new ReportSchedule();
        register(7, 26);
        for (int count = 0; count < rounds; count++) {
            round(7, 26);
        }
        schedule.addRelay("later", near ? "here" : "there", near);
        List<Long> toldAt = new ArrayList<>(List.of(now));
        for (int count = 0; count < 50; count++) {
            for (ReportSchedule.Due due : round(7, 26)) {
                if (due.relays().contains("later")) {
                    toldAt.add(now);
                }
            }
        }

        for (int index = 1; index < toldAt.size(); index++) {
            assertThat(toldAt.get(index) - toldAt.get(index - 1)).isLessThanOrEqualTo(1_000);
        }
        assertThat(toldAt).hasSizeGreaterThan(4);
    }
}
