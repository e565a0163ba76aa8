package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.fleet.RelayFleet.mostWithin;
import static org.rattanrudder.core.fleet.RelayFleet.relays;
import static org.rattanrudder.core.fleet.TestReports.readNothing;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.gateway.WarmUpTraits;
import org.rattanrudder.core.model.Address;

class WarmUpAdmissionTest {
    private static final long START = 100_000;
    private static final long SECOND = 1_000;
    private static final long STEP_MILLIS = 5;
    private static final long LONG_WARM_UP = 60_000;

    /** One relay's view of a single target. */
    private static final class View {
        private final Fleet fleet = new Fleet();
        private final PermitShares shares = new PermitShares();
        private final WarmUpAdmission admission = new WarmUpAdmission(fleet.evacuations(), shares);
        private final WarmUpTraits traits;

        View(int permits, OptionalLong warmUpMillis) {
            traits = new WarmUpTraits(LONG_WARM_UP, permits);
            admission.updateBounds(1.5, 5);
            fleet.applyListing(Set.of(), position(0), START);
            register(warmUpMillis, 1, START);
        }

        void register(OptionalLong warmUpMillis, long offset, long nowMillis) {
            register(TargetRegistration.START_UNKNOWN, warmUpMillis, offset, nowMillis);
        }

        void register(long startedAt, OptionalLong warmUpMillis, long offset, long nowMillis) {
            fleet.apply(
                    "i-1",
                    Optional.of(new TargetRegistration(
                            "i-1",
                            startedAt,
                            "llm",
                            new Address("10.0.0.1", 80),
                            "north",
                            4,
                            false,
                            Map.of("m", 1L),
                            warmUpMillis,
                            Optional.empty())),
                    position(offset),
                    nowMillis);
        }

        Target target() {
            return fleet.find("i-1").orElseThrow();
        }

        boolean isWarmingUp(long nowMillis) {
            return admission.isWarmingUp(target(), traits, nowMillis);
        }

        boolean trySend(long nowMillis) {
            if (admission
                    .admitted(List.of(target()), Optional.of(traits), nowMillis)
                    .isEmpty()) {
                return false;
            }
            target().reserveSend(nowMillis);
            target().onRequestSent(nowMillis);
            return true;
        }

        int sendAll(long nowMillis) {
            int sent = 0;
            while (trySend(nowMillis)) {
                sent++;
            }
            return sent;
        }
    }

    private static View warming(int permits, String self, Map<String, String> known) {
        View view = new View(permits, OptionalLong.of(LONG_WARM_UP));
        view.shares.updateRelays(self, known);
        return view;
    }

    /**
     * Guards against relays that overload a cold target together while they pause and know different relays.
     */
    @Property(tries = 100)
    void sumOverRelaysHoldsInEachSecondWhateverRelaysKnowOfEachOther(
            @ForAll @IntRange(min = 1, max = 40) int count,
            @ForAll @IntRange(min = 1, max = 60) int permits,
            @ForAll @IntRange(min = 0, max = 3) int missing,
            @ForAll long seed) {
        Random random = new Random(seed);
        int unknown = Math.min(missing, count - 1);
        List<View> views = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String self = "relay-" + number;
            Map<String, String> known = relays(count);
            for (int lost = 0; lost < unknown; lost++) {
                int other = random.nextInt(count);
                if (other != number) {
                    known.remove("relay-" + other);
                }
            }
            views.add(warming(permits, self, known));
        }
        List<Long> sends = new ArrayList<>();
        long[] pausedUntil = new long[count];
        for (long now = START; now < START + 3 * SECOND; now += STEP_MILLIS) {
            for (int number = 0; number < count; number++) {
                if (random.nextInt(100) == 0) {
                    pausedUntil[number] = now + random.nextInt(1_500);
                }
                if (now >= pausedUntil[number] && views.get(number).trySend(now)) {
                    sends.add(now);
                }
            }
        }
        // With few permits, each relay that somebody doesn't know may take one more.
        int bound = permits < count - unknown
                ? permits + unknown
                : count * ((permits + count - unknown - 1) / (count - unknown));
        assertThat(mostWithin(SECOND, sends)).isLessThanOrEqualTo(unknown == 0 ? permits : bound);
    }

    /** Guards against dials that take long: requests whose connections open together would be sent in one second. */
    @Test
    void reservedSendsCountUntilTheyAreSent() {
        View view = warming(3, "relay-0", relays(1));
        Target target = view.target();
        List<Target> all = List.of(target);
        for (int reserved = 0; reserved < 3; reserved++) {
            assertThat(view.admission.admitted(all, Optional.of(view.traits), START))
                    .hasSize(1);
            target.reserveSend(START);
        }
        long later = START + 5 * SECOND;

        assertThat(view.admission.admitted(all, Optional.of(view.traits), later))
                .isEmpty();
        target.cancelSend();
        assertThat(view.admission.admitted(all, Optional.of(view.traits), later))
                .hasSize(1);
    }

    /** Guards against a target that turns cold after many requests were placed there and before they are sent. */
    @Test
    void reservedSendsBeyondTheShareAreNotSentOnceTheTargetWarmsUp() {
        View view = new View(2, OptionalLong.of(0));
        view.shares.updateRelays("relay-0", relays(1));
        Target target = view.target();
        for (int reserved = 0; reserved < 5; reserved++) {
            target.reserveSend(START);
        }
        view.register(OptionalLong.of(LONG_WARM_UP), 2, START);
        int sent = 0;
        for (int reserved = 0; reserved < 5; reserved++) {
            if (view.admission.mayStillSend(target, Optional.of(view.traits), START)) {
                target.onRequestSent(START);
                sent++;
            }
        }

        assertThat(sent).isEqualTo(2);
    }

    /** Guards against a relay that starts and doesn't know yet with how many it shares a cold target. */
    @Test
    void relayThatKnowsNoOthersSendsNothingToWarmingTarget() {
        View view = new View(10, OptionalLong.of(LONG_WARM_UP));

        assertThat(view.sendAll(START)).isZero();
    }

    @Test
    void relaysOfTheTargetsDomainHaveItsFirstPermits() {
        int sent = 0;
        for (int number = 0; number < 27; number += RelayFleet.DOMAINS.size()) {
            sent += warming(9, "relay-" + number, relays(27)).sendAll(START);
        }

        assertThat(sent).isEqualTo(9);
    }

    /** Guards against a target that turns cold unnoticed: what all relays are known to send stays below its bound. */
    @Test
    void requestsThatPeersReportCountAtTargetThatMayTurnCold() {
        View view = new View(10, OptionalLong.of(0));
        view.shares.updateRelays("relay-0", relays(3));
        report(view, 1, 0);
        report(view, 2, 12);

        // 0.8 * (10 * 1.5 + 5) are used, 12 of them by the peer.
        assertThat(view.sendAll(START)).isEqualTo(4);
        assertThat(view.sendAll(START + RecentSends.WINDOW_MILLIS)).isEqualTo(16);
    }

    /** Guards against a first report after a pause, whose requests may have been sent long ago. */
    @Test
    void requestsInTheFirstReportOfPeerDoNotCountAsJustSent() {
        View view = new View(10, OptionalLong.of(0));
        report(view, 1, 12);

        assertThat(view.sendAll(START)).isEqualTo(16);
    }

    /** Guards against a count that grows with each target that ever was. */
    @Test
    void sendsOfPeersAreForgottenAfterSecond() {
        PeerLoads peers = new PeerLoads();
        for (int sequence = 1; sequence <= 2; sequence++) {
            peers.apply(report("gone", sequence, sequence), START);
        }

        assertThat(peers.sentWithinSecond("gone", START)).isEqualTo(1);
        assertThat(peers.sentWithinSecond("gone", START + RecentSends.WINDOW_MILLIS))
                .isZero();
    }

    private static void report(View view, long sequence, int requests) {
        view.fleet.applyLoadReport(report("i-1", sequence, requests), START);
    }

    private static LoadReport report(String target, long sequence, int requests) {
        return LoadReport.ofTargets(
                "relay-1", sequence, true, List.of(new TargetLoad(target, requests, 0, 0)), true, readNothing());
    }

    @Test
    void warmUpThatIsReportedEnds() {
        View view = new View(10, OptionalLong.of(2_000));

        assertThat(view.isWarmingUp(START + 1_999)).isTrue();
        assertThat(view.isWarmingUp(START + 2_000)).isFalse();
    }

    /** Guards against a report that was written before a later one and is read after it. */
    @Test
    void shorterReportDoesNotEndWarmUpSooner() {
        View view = new View(10, OptionalLong.of(2_000));
        view.register(OptionalLong.of(0), 2, START + 100);

        assertThat(view.isWarmingUp(START + 1_900)).isTrue();
    }

    /** Guards against targets whose registrations don't say how long they warm up. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void targetThatStartsAgainWarmsUpWithoutReport(boolean restarted, boolean warming) {
        View view = new View(10, OptionalLong.of(0));
        view.register(restarted ? 7 : TargetRegistration.START_UNKNOWN, OptionalLong.empty(), 2, START);

        assertThat(view.isWarmingUp(START + 1)).isEqualTo(warming);
    }

    /** Guards against a target that restarts under its id: its registration tells of that seconds later. */
    @Test
    void targetThatCanBeReachedAgainWarmsUp() {
        View view = new View(10, OptionalLong.of(0));
        Target target = view.target();
        target.onDialStarted(START);
        target.onDialFinished(false, START);
        assertThat(view.isWarmingUp(START)).isFalse();
        target.onDialStarted(START + 400);
        target.onDialFinished(true, START + 400);

        assertThat(view.isWarmingUp(START + 401)).isTrue();
    }

    /** Guards against a whole domain that gets all of its traffic back at once when its evacuation is taken back. */
    @Test
    void targetsOfDomainWhoseEvacuationEndsWarmUp() {
        View view = new View(10, OptionalLong.of(0));
        view.fleet.evacuations().apply("north", true, position(5), START);
        assertThat(view.isWarmingUp(START)).isFalse();
        view.fleet.evacuations().apply("north", false, position(6), START + 100);

        assertThat(view.isWarmingUp(START + 101)).isTrue();
        assertThat(view.isWarmingUp(START + 100 + LONG_WARM_UP)).isFalse();
    }

    @Test
    void serviceThatDoesNotWarmUpHasNoLimit() {
        View view = new View(1, OptionalLong.of(LONG_WARM_UP));
        Target[] targets = new Target[100];
        Arrays.fill(targets, view.target());

        assertThat(view.admission.admitted(List.of(targets), Optional.empty(), START))
                .hasSize(100);
    }
}
