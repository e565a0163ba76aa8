package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.model.Address;

class TargetAdmissionTest {
    private static final long NOW = 1_000_000;
    private static final String SERVICE = "llm";

    private final Fleet fleet = new Fleet();
    private final PermitShares shares = new PermitShares();
    private final TargetAdmission admission = new TargetAdmission(
            fleet, new WarmUpAdmission(fleet.evacuations(), shares), new RateLimitAdmission(shares));

    @BeforeEach
    void register() {
        fleet.onLogAvailable(0);
        register("i-1");
        register("i-2");
    }

    private void register(String id) {
        TargetRegistration registration = new TargetRegistration(
                id, 5_000, SERVICE, new Address("10.0.0.1", 80), "north", 8, false, Map.of("m", 1L));
        fleet.apply(id, Optional.of(registration), position(1), NOW);
    }

    private Target target(String id) {
        return fleet.find(id).orElseThrow();
    }

    private void say(String id, RestNotice rest, boolean leaving) {
        SelfReport report =
                new SelfReport(Optional.empty(), OptionalLong.empty(), new RateLimitNotice.NotLimited(), rest, leaving);
        target(id).recordSelfReport(report, true, NOW, NOW);
    }

    private void askForRest(String id, long millis) {
        say(id, new RestNotice.Asked(millis), false);
    }

    private List<Target> candidates(long nowMillis) {
        return TargetAdmission.withoutResting(admission.usable(SERVICE, nowMillis), nowMillis);
    }

    private TargetAdmission.Admitted admitted(long nowMillis) {
        return admission.admitted(candidates(nowMillis), Optional.empty(), nowMillis);
    }

    private Optional<String> reasonNotToSend(String id, long nowMillis) {
        return admission.reasonNotToSend(target(id), Optional.empty(), nowMillis);
    }

    @Test
    void aRestingTargetIsNoCandidateUntilItHasRested() {
        askForRest("i-1", 1_000);

        assertThat(candidates(NOW + 999)).containsExactly(target("i-2"));
        assertThat(candidates(NOW + 1_000)).hasSize(2);
    }

    /** Guards against requests whose connection opens after the target has asked for rest, or has said it leaves. */
    @Test
    void whatWasPlacedBeforeANoticeIsNotSentAfterIt() {
        target("i-1").reserveSend(NOW);
        target("i-2").reserveSend(NOW);
        assertThat(reasonNotToSend("i-1", NOW)).isEmpty();

        askForRest("i-1", 1_000);
        say("i-2", new RestNotice.NotAsked(), true);

        assertThat(reasonNotToSend("i-1", NOW + 999)).contains("wants rest");
        assertThat(reasonNotToSend("i-2", NOW + 999)).contains("no longer usable");
        assertThat(reasonNotToSend("i-1", NOW + 1_000)).isEmpty();
    }

    /** Guards against orders and looks at engines that go on while requests are held back. */
    @Test
    void noOtherCallIsMadeEither() {
        askForRest("i-1", 1_000);
        say("i-2", new RestNotice.NotAsked(), true);

        assertThat(admission.mayCall(target("i-1"), NOW + 999)).isFalse();
        assertThat(admission.mayCall(target("i-1"), NOW + 1_000)).isTrue();
        assertThat(admission.mayCall(target("i-2"), NOW + 60_000)).isFalse();
    }

    @Test
    void onlyOneRequestTriesATargetAfterItsRest() {
        askForRest("i-1", 1_000);
        target("i-1").reserveSend(NOW + 1_000);

        assertThat(admitted(NOW + 1_001).targets()).containsExactly(target("i-2"));
        assertThat(admitted(NOW + 1_001).deferral()).contains(TargetAdmission.Deferral.AFTER_REST);
        assertThat(reasonNotToSend("i-1", NOW + 1_001)).isEmpty();

        target("i-1").onAccepted(NOW + 1_001);
        assertThat(admitted(NOW + 1_002).targets()).hasSize(2);
        assertThat(admitted(NOW + 1_002).deferral()).isEmpty();
    }

    /** The time at which it is worth coming back is known only if no target takes requests before. */
    @ParameterizedTest
    @CsvSource({"3000, 2000, 2000", "500, 2000, 500", "0, 2000, -1", "0, 0, -1"})
    void callersAreToldTheEndOfTheShortestRestIfAllTargetsRest(long first, long second, long millis) {
        if (first > 0) {
            askForRest("i-1", first);
        }
        if (second > 0) {
            askForRest("i-2", second);
        }

        assertThat(TargetAdmission.restMillis(admission.usable(SERVICE, NOW), NOW))
                .isEqualTo(millis < 0 ? OptionalLong.empty() : OptionalLong.of(millis));
    }

    /** A target that leaves never takes the request: the one that rests says when. */
    @Test
    void aLeavingTargetDoesNotCountAmongThoseThatRest() {
        askForRest("i-1", 700);
        say("i-2", new RestNotice.NotAsked(), true);

        assertThat(TargetAdmission.restMillis(admission.usable(SERVICE, NOW), NOW))
                .hasValue(700);
    }
}
