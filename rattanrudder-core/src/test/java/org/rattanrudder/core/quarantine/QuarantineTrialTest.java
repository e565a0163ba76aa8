package org.rattanrudder.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;

/** Trials of features that all requests share, which several rarer causes may explain in their place. */
class QuarantineTrialTest {
    private static final Feature COMMON = Feature.part("common");
    private static final Feature CAUSE = Feature.part("cause");
    private static final Feature OTHER = Feature.part("other");
    private static final long NOW = 1_000_000;
    private static final long UNIX = 50_000_000;
    private static final long GAP = 1_000;
    private static final long HELD = 100;

    private final Quarantine quarantine = new Quarantine();
    private int requests;

    private TargetCrash crash(int target, Feature... features) {
        return crashOf(target, UNIX + target * GAP, request(features));
    }

    private static TargetCrash crashOf(int target, long atMillis, Set<Feature> inFlight) {
        return new TargetCrash("i-" + target, 1, atMillis, List.of(new SuspectRequest(inFlight, HELD)), Set.of());
    }

    /** Returns the features of a request that is like no other. */
    private Set<Feature> request(Feature... features) {
        Set<Feature> request = new HashSet<>(List.of(features));
        requests++;
        request.add(Feature.request(new RequestFingerprint(0, requests)));
        return request;
    }

    private boolean isRefused(Feature... features) {
        return quarantine.remainingMillis(request(features), NOW).isPresent();
    }

    private static Cause cause(Feature... features) {
        return new Cause(Set.of(features), false, false);
    }

    /** Guards against a trial of a popular feature that tells nothing, since the request has a rarer cause too. */
    @Test
    void featureInDoubtIsTriedAtOnceByARequestWithoutTheRarerOnes() {
        Feature third = Feature.part("third");
        quarantine.onCrash(crash(0, COMMON, CAUSE), true, NOW);
        quarantine.onCrash(crash(1, COMMON, OTHER), true, NOW + GAP);
        quarantine.onCrash(crash(2, COMMON, third), true, NOW + 2 * GAP);
        long last = NOW + 2 * GAP;
        assertThat(quarantine.isInDoubt(cause(COMMON))).isTrue();
        assertThat(quarantine.causeToTry(request(COMMON, CAUSE), last + 19_999)).isEmpty();
        assertThat(quarantine.causeToTry(request(COMMON), last)).hasValue(cause(COMMON));

        quarantine.onTrialGranted(cause(COMMON), 1, last);

        assertThat(quarantine.takeTrial(request(COMMON, third), last)).isFalse();
        assertThat(quarantine.takeTrial(request(COMMON), last)).isTrue();
        quarantine.onAnswered(request(COMMON), last, last + HELD);
        assertThat(isRefused(COMMON)).isFalse();
        assertThat(isRefused(COMMON, CAUSE)).isFalse();
    }

    /** Guards against a cause that stays in doubt, and is tried ever again, beside shared parts that are ever new. */
    @Test
    void causeBesideEverNewPartsIsSentThreeTimesAtMostAfterFiveCrashes() {
        int sent = 0;
        for (long now = NOW; now < NOW + Quarantine.QUARANTINE_MILLIS / 2; now += GAP) {
            Set<Feature> request = request(CAUSE, Feature.part("new" + now));
            if (quarantine.remainingMillis(request, now).isPresent()) {
                Optional<Cause> tried = quarantine.causeToTry(request, now);
                if (tried.isEmpty()) {
                    continue;
                }
                quarantine.onTrialGranted(tried.get(), quarantine.trialsOf(tried.get()) + 1, now);
                assertThat(quarantine.takeTrial(request, now)).isTrue();
            }
            sent++;
            quarantine.onCrash(crashOf(sent, UNIX + now - NOW + HELD, request), true, now + HELD);
        }

        assertThat(sent).isLessThanOrEqualTo(Quarantine.MOST_CRASHES + 3);
    }

    /** Guards against relays that differ on what is in doubt, by the order in which they read the reports. */
    @Property(tries = 50)
    void doubtDoesNotDependOnOrderOfReports(@ForAll @IntRange(min = 1, max = 3) int causes, @ForAll long seed) {
        List<TargetCrash> reports = new ArrayList<>();
        for (int target = 0; target < 5; target++) {
            reports.add(crash(target, COMMON, Feature.part("rare" + target % causes)));
        }
        Quarantine inOrder = new Quarantine();
        reports.forEach(report -> inOrder.onCrash(report, false, NOW));
        Collections.shuffle(reports, new Random(seed));
        Quarantine shuffled = new Quarantine();
        reports.forEach(report -> shuffled.onCrash(report, false, NOW));

        assertThat(shuffled.causes()).isEqualTo(inOrder.causes()).isNotEmpty();
        assertThat(shuffled.causes()).allMatch(cause -> shuffled.isInDoubt(cause) == inOrder.isInDoubt(cause));
    }
}
