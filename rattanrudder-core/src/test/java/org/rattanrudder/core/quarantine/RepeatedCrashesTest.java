package org.rattanrudder.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;

/** A relay that reads the crashes again by which it has found a cause, as after a return of the log. */
class RepeatedCrashesTest {
    private static final Feature PART = Feature.part("cause");
    private static final Cause CAUSE = new Cause(Set.of(PART), false, false);
    private static final long NOW = 1_000_000;
    private static final long UNIX = 50_000_000;
    private static final long GAP = 1_000;
    private static final long RELEASED = NOW + 5 * GAP;
    private static final long RETURNED = NOW + 10 * GAP;

    private final Quarantine quarantine = new Quarantine();

    private static TargetCrash crash(int target) {
        Set<Feature> request = Set.of(PART, Feature.request(new RequestFingerprint(0, target)));
        List<SuspectRequest> requests = List.of(new SuspectRequest(request, 100));
        return new TargetCrash("i-" + target, 1, UNIX + target * GAP, requests, Set.of());
    }

    private boolean isRefused() {
        return quarantine.remainingMillis(List.of(PART), RETURNED).isPresent();
    }

    @BeforeEach
    void findAndReleaseTheCause() {
        for (int target = 0; target < Quarantine.CRASH_THRESHOLD; target++) {
            quarantine.onCrash(crash(target), false, NOW + target * GAP);
        }
        assertThat(isRefused()).isTrue();
        quarantine.onReleased(CAUSE, RELEASED);
    }

    /** Guards against a release by hand that ends once the crashes before it are read again. */
    @Test
    void aReleaseOutlastsCrashesThatAreReadAgain() {
        for (int target = 0; target < Quarantine.CRASH_THRESHOLD; target++) {
            quarantine.onCrash(crash(target), false, RETURNED);
        }

        assertThat(isRefused()).isFalse();
    }

    @Test
    void aReleaseEndsWithTheNextCrash() {
        quarantine.onCrash(crash(Quarantine.CRASH_THRESHOLD), false, RETURNED);

        assertThat(isRefused()).isTrue();
    }
}
