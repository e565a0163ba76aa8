package org.rattanrudder.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final RequestFingerprint CAUSE = new RequestFingerprint(1, 1);
    private static final RequestFingerprint OTHER = new RequestFingerprint(2, 2);
    private static final long NOW = 1_000_000;

    private final Quarantine quarantine = new Quarantine();

    private static TargetCrash crash(int target, RequestFingerprint... requests) {
        return new TargetCrash("i-" + target, 1, Set.of(requests));
    }

    private void crashes(int count, RequestFingerprint request) {
        for (int target = 0; target < count; target++) {
            quarantine.onCrash(crash(target, request), true, NOW);
        }
    }

    private boolean isQuarantined(RequestFingerprint request) {
        return quarantine.remainingMillis(request, NOW).isPresent();
    }

    @Test
    void thirdCrashQuarantinesRequest() {
        crashes(2, CAUSE);
        assertThat(isQuarantined(CAUSE)).isFalse();
        assertThat(quarantine.isOneCrashFromQuarantine(CAUSE)).isTrue();

        quarantine.onCrash(crash(2, CAUSE, OTHER), true, NOW);

        assertThat(quarantine.remainingMillis(CAUSE, NOW + 10)).hasValue(Quarantine.QUARANTINE_MILLIS - 10);
        assertThat(isQuarantined(OTHER)).isFalse();
        assertThat(quarantine.recordsToWrite()).containsExactly(CAUSE);
    }

    @Test
    void crashReportedBySeveralRelaysCountsOnce() {
        quarantine.onCrash(crash(0, CAUSE), true, NOW);
        quarantine.onCrash(crash(0, CAUSE), false, NOW);
        quarantine.onCrash(crash(0, CAUSE), false, NOW);

        assertThat(isQuarantined(CAUSE)).isFalse();
    }

    @Test
    void crashesOfRestartedTargetCountSeparately() {
        for (int start = 1; start <= Quarantine.CRASH_THRESHOLD; start++) {
            quarantine.onCrash(new TargetCrash("i-1", start, Set.of(CAUSE)), true, NOW);
        }

        assertThat(isQuarantined(CAUSE)).isTrue();
    }

    @Test
    void answeredRequestIsNotQuarantined() {
        crashes(2, CAUSE);
        quarantine.onAnswered(CAUSE, NOW);
        crashes(5, CAUSE);

        assertThat(isQuarantined(CAUSE)).isFalse();
    }

    @Test
    void requestAnsweredLongAgoBecomesSuspectAgain() {
        quarantine.onAnswered(CAUSE, NOW - Quarantine.CLEARED_MILLIS);
        crashes(3, CAUSE);

        assertThat(isQuarantined(CAUSE)).isTrue();
    }

    @Test
    void recordOfRecentlyAnsweredRequestIsRemoved() {
        quarantine.onAnswered(CAUSE, NOW);
        quarantine.onRecord(CAUSE, false, NOW);

        assertThat(isQuarantined(CAUSE)).isFalse();
        assertThat(quarantine.recordsToRemove()).containsExactly(CAUSE);
    }

    @Test
    void rememberedResponsesAreBounded() {
        quarantine.onAnswered(CAUSE, NOW);
        for (int request = 10; request < 10 + Quarantine.MAX_CLEARED; request++) {
            quarantine.onAnswered(new RequestFingerprint(request, request), NOW);
        }
        crashes(3, CAUSE);

        assertThat(isQuarantined(CAUSE)).isTrue();
    }

    @Test
    void responseToEarlierAttemptEndsQuarantine() {
        crashes(3, CAUSE);
        quarantine.onRecord(CAUSE, false, NOW);

        quarantine.onAnswered(CAUSE, NOW);

        assertThat(isQuarantined(CAUSE)).isFalse();
        assertThat(quarantine.recordsToRemove()).containsExactly(CAUSE);
    }

    @Test
    void oneCrashAfterExpiryQuarantinesAgain() {
        crashes(3, CAUSE);
        quarantine.onRecord(CAUSE, false, NOW);
        quarantine.expire(NOW + Quarantine.QUARANTINE_MILLIS);
        assertThat(isQuarantined(CAUSE)).isFalse();
        assertThat(quarantine.recordsToRemove()).containsExactly(CAUSE);
        quarantine.onRecordRemoved(CAUSE, NOW + Quarantine.QUARANTINE_MILLIS);
        assertThat(quarantine.recordsToRemove()).isEmpty();

        quarantine.onCrash(crash(9, CAUSE), true, NOW + Quarantine.QUARANTINE_MILLIS);

        assertThat(isQuarantined(CAUSE)).isTrue();
    }

    @Test
    void relayThatSawNoCrashWritesAndRemovesNoRecord() {
        for (int target = 0; target < Quarantine.CRASH_THRESHOLD; target++) {
            quarantine.onCrash(crash(target, CAUSE), false, NOW);
        }
        assertThat(isQuarantined(CAUSE)).isTrue();
        assertThat(quarantine.recordsToWrite()).isEmpty();

        quarantine.onRecord(CAUSE, false, NOW);
        quarantine.expire(NOW + Quarantine.QUARANTINE_MILLIS);

        assertThat(quarantine.recordsToRemove()).isEmpty();
    }

    @Test
    void recordFoundAtStartIsRemovedAfterExpiry() {
        quarantine.onRecord(CAUSE, true, NOW);
        quarantine.expire(NOW + Quarantine.QUARANTINE_MILLIS);

        assertThat(quarantine.recordsToRemove()).containsExactly(CAUSE);
    }

    @Test
    void lostRecordIsWrittenAgain() {
        crashes(3, CAUSE);
        quarantine.onRecord(CAUSE, false, NOW);
        assertThat(quarantine.recordsToWrite()).isEmpty();

        quarantine.onRecordsListed(Set.of());

        assertThat(quarantine.recordsToWrite()).containsExactly(CAUSE);
    }

    @Test
    void pastCrashesQuarantineOnlyAfterAnotherCrash() {
        for (int target = 0; target <= Quarantine.CRASH_THRESHOLD; target++) {
            quarantine.onPastCrash(crash(target, CAUSE, OTHER), NOW);
        }
        assertThat(isQuarantined(CAUSE)).isFalse();
        assertThat(quarantine.isOneCrashFromQuarantine(CAUSE)).isTrue();

        quarantine.onCrash(crash(9, CAUSE), true, NOW);

        assertThat(isQuarantined(CAUSE)).isTrue();
        assertThat(isQuarantined(OTHER)).isFalse();
    }

    @Test
    void suspectsExpire() {
        crashes(2, CAUSE);
        quarantine.expire(NOW + Quarantine.QUARANTINE_MILLIS);

        assertThat(quarantine.isEmpty()).isTrue();
    }

    @Test
    void suspectsAreBounded() {
        for (int request = 0; request <= Quarantine.MAX_SUSPECTS; request++) {
            quarantine.onCrash(crash(0, new RequestFingerprint(request, request)), true, NOW);
        }

        assertThat(quarantine.suspectCount()).isEqualTo(Quarantine.MAX_SUSPECTS);
        assertThat(quarantine.isEmpty()).isFalse();
    }

    /** Reports of several relays arrive in any order, late or duplicated; the result must be the same at each relay. */
    @Property
    void resultDoesNotDependOnOrderOfReports(
            @ForAll @IntRange(max = 5) int crashes, @ForAll @IntRange(min = 1, max = 4) int relays, @ForAll long seed) {
        List<TargetCrash> reports = new ArrayList<>();
        for (int target = 0; target < crashes; target++) {
            for (int relay = 0; relay < relays; relay++) {
                RequestFingerprint bystander = new RequestFingerprint(target, relay + 10);
                reports.add(relay == target % relays ? crash(target, bystander, CAUSE) : crash(target, bystander));
            }
        }
        reports.addAll(List.copyOf(reports));
        Collections.shuffle(reports, new Random(seed));

        Quarantine shuffled = new Quarantine();
        reports.forEach(report -> shuffled.onCrash(report, false, NOW));

        assertThat(shuffled.remainingMillis(CAUSE, NOW).isPresent()).isEqualTo(crashes >= Quarantine.CRASH_THRESHOLD);
        assertThat(shuffled.quarantinedCount()).isLessThanOrEqualTo(1);
    }
}
