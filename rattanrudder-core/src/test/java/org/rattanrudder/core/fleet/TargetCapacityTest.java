package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.fleet.FirstEventSample.CapacityAtSend;
import org.rattanrudder.core.gateway.EngineTraits;
import org.rattanrudder.core.model.Address;

class TargetCapacityTest {
    private static final long NOW = 1_000_000;
    private static final int SLOTS = 64;
    private static final double CHANGE_MILLIS = 600;

    /** An engine with a given true speed, from whose responses an estimate learns. */
    private static final class TrueEngine {
        private final SplittableRandom random;
        private final VaryingPace pace;
        private final TargetCapacity capacity;
        private final double tokensPerMilli;
        private final double baseMillis;
        private final double idleShare;
        private double now = NOW;

        TrueEngine(ServiceCapacity service, double tokensPerMilli, double baseMillis, double idleShare, long seed) {
            this.idleShare = idleShare;
            random = new SplittableRandom(seed);
            pace = new VaryingPace(random.split(), CHANGE_MILLIS);
            capacity = new TargetCapacity(service, SLOTS);
            this.tokensPerMilli = tokensPerMilli;
            this.baseMillis = baseMillis;
            capacity.onReported(load(100), NOW);
        }

        /** Serves a request whose work ahead the relay knows inexactly, and that meets other delays. */
        void serve() {
            now += random.nextDouble(200);
            int prompt = random.nextDouble() < 0.25 ? 9_000 : 800;
            boolean idle = random.nextDouble() < idleShare;
            double ahead = idle ? 0 : random.nextDouble() * 12_000;
            long known = (long) (ahead * random.nextDouble(0.8, 1.4));
            CapacityAtSend before =
                    new CapacityAtSend(known, idle ? 0 : random.nextInt(SLOTS), capacity.pace((long) now));
            double work = baseMillis + (prompt + ahead) / tokensPerMilli;
            double late = random.nextDouble() < 0.02 ? 2_000 : 5 * random.nextDouble();
            double end = pace.finish(now, work) + late;
            capacity.onReported(load((int) (100 * pace.at(end))), (long) end);
            capacity.onFirstEvent(new FirstEventSample(before, prompt, prompt, 0, end - now), (long) end);
            now = end;
        }
    }

    /** Guards against windows and delays that suit one kind of engine and are several times off at another. */
    @ParameterizedTest
    @CsvSource({
        "36, 20, 0.3, 400", "36, 80, 0.3, 400", "42, 40, 0.3, 400", "65, 80, 0.3, 400", "100, 80, 0.3, 400",
        "112, 10, 0.3, 400", "112, 80, 0.3, 400", "36, 80, 0, 1200", "65, 80, 0, 1200", "112, 80, 0, 1200"
    })
    void theLearnedSpeedConvergesFromTheExpectedOneToTheTrueOne(
            double tokensPerMilli, double baseMillis, double idleShare, int samples) {
        for (long seed = 0; seed < 10; seed++) {
            ServiceCapacity service = new ServiceCapacity();
            TrueEngine engine = new TrueEngine(service, tokensPerMilli, baseMillis, idleShare, seed);
            for (int sample = 0; sample < samples; sample++) {
                engine.serve();
            }
            assertThat(service.prefillTokensPerMilli((long) engine.now))
                    .isCloseTo(tokensPerMilli, Percentage.withPercentage(12));
            assertThat(service.baseMillis((long) engine.now)).isCloseTo(baseMillis, within(15.0));
        }
    }

    /** Guards against a speed that noise alone decides, since prompts of one size don't tell it from the base time. */
    @ParameterizedTest
    @CsvSource({"36, 9000", "42, 9000", "112, 9000", "42, 3000"})
    void promptsOfAboutTheSameSizeAreExpectedAsTheyWere(double tokensPerMilli, int size) {
        for (long seed = 0; seed < 10; seed++) {
            ServiceCapacity service = new ServiceCapacity();
            TargetCapacity capacity = paced(service, 100);
            SplittableRandom random = new SplittableRandom(seed);
            for (int sample = 0; sample < 1_000; sample++) {
                int prompt = size + random.nextInt(-50, 50);
                double millis = (60 + prompt / tokensPerMilli) * random.nextDouble(0.8, 1.2);
                CapacityAtSend idle = new CapacityAtSend(0, 0, 1);
                capacity.onFirstEvent(new FirstEventSample(idle, prompt, prompt, 0, millis), NOW);
            }

            assertThat(capacity.firstEventMillis(size, NOW))
                    .isCloseTo(60 + size / tokensPerMilli, Percentage.withPercentage(6));
            assertThat(service.prefillTokensPerMilli(NOW)).isBetween(tokensPerMilli * 0.7, tokensPerMilli * 1.7);
        }
    }

    /** Guards against a slow link that is learned as slow engines. */
    @ParameterizedTest
    @CsvSource({"0, 0", "30, 0", "30, 300"})
    void fetchesAreNotLearnedAsTheEnginesTime(double fetchMillis, double waitMillis) {
        ServiceCapacity service = new ServiceCapacity();
        TargetCapacity capacity = paced(service, 100);
        for (int sample = 0; sample < 2_000; sample++) {
            boolean fetched = sample % 2 == 0;
            int prompt = sample % 4 < 2 ? 9_000 : 800;
            int prefill = fetched ? prompt / 4 : prompt;
            double fetch = fetched ? fetchMillis : 0;
            double millis = 50 + prefill / 40.0 + fetch + (fetched ? waitMillis : 0);
            CapacityAtSend idle = new CapacityAtSend(0, 0, 1);
            capacity.onFirstEvent(new FirstEventSample(idle, prompt, prefill, fetch, millis), NOW);
        }

        assertThat(service.baseMillis(NOW)).isBetween(45.0, 120.0);
        assertThat(service.prefillTokensPerMilli(NOW)).isBetween(36.0, 50.0);
    }

    /** Guards against an engine that is slower than others at the pace that it reports and gets as many requests. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 2", "0.7, 0.7", "8, 4"})
    void aTargetsFactorIsLearnedOnceItsServicesSpeedIs(double trueFactor, double learned) {
        ServiceCapacity service = new ServiceCapacity();
        TargetCapacity odd = paced(service, 100);
        TargetCapacity usual = paced(service, 100);
        for (int sample = 0; sample < 4_000; sample++) {
            usual.onFirstEvent(idleSample(sample, 1, 1), NOW);
            if (sample % 30 == 0) {
                odd.onFirstEvent(idleSample(sample, 1, trueFactor), NOW);
            }
        }

        assertThat(odd.slowdown(NOW)).isCloseTo(learned, Percentage.withPercentage(12));
        assertThat(usual.slowdown(NOW)).isCloseTo(1, within(0.08));
        assertThat(service.prefillTokensPerMilli(NOW)).isCloseTo(40, Percentage.withPercentage(8));
    }

    /**
     * Guards against a target that attracts all requests by a false pace, or that gets none for good, and against one
     * that spoils what is learned of all others.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 50, 100, 1_000, Integer.MAX_VALUE})
    void aFalsePaceHasABoundedEffect(int reported) {
        ServiceCapacity service = new ServiceCapacity();
        TargetCapacity liar = paced(service, reported);
        assertThat(liar.slowdown(NOW)).isBetween(0.5, 10.0);
        TargetCapacity usual = paced(service, 100);
        for (int sample = 0; sample < 4_000; sample++) {
            TargetCapacity target = sample % 30 == 0 ? liar : usual;
            target.onFirstEvent(idleSample(sample, target.pace(NOW), 1), NOW);
        }

        assertThat(service.prefillTokensPerMilli(NOW)).isCloseTo(40, Percentage.withPercentage(8));
        assertThat(liar.slowdown(NOW)).isBetween(0.5, 6.0);
        assertThat(usual.slowdown(NOW)).isCloseTo(1, within(0.08));
    }

    /** Until something was learned, windows are the former ones, also where targets report a pace. */
    @Test
    void windowsBeginAsTheExpectedOnes() {
        TargetCapacity capacity = paced(new ServiceCapacity(), 100);

        assertThat(SendWindow.maxPrefillTokens(capacity, false, NOW)).isEqualTo(14_000);
        assertThat(SendWindow.maxPrefillTokens(capacity, true, NOW)).isEqualTo(6_000);
    }

    /** Guards against windows and bounds that are several times longer, in time, at slower engines. */
    @ParameterizedTest
    @CsvSource({"36, 80, 100", "42, 20, 100", "42, 80, 250", "42, 400, 100", "100, 80, 100", "112, 80, 100"})
    void windowsAndBoundsAreTimesAtTheLearnedSpeed(double tokensPerMilli, double baseMillis, int pace) {
        ServiceCapacity service = new ServiceCapacity();
        TargetCapacity capacity = paced(service, 100);
        for (int sample = 0; sample < 1_000; sample++) {
            int prompt = sample % 4 == 0 ? 4_000 : 800;
            capacity.onFirstEvent(
                    new FirstEventSample(
                            new CapacityAtSend(0, 0, 1), prompt, prompt, 0, baseMillis + prompt / tokensPerMilli),
                    NOW);
        }
        capacity.onReported(load(pace), NOW);
        double speed = tokensPerMilli * 100 / pace;
        EngineTraits ample = new EngineTraits(SLOTS, 1_000_000, 1, 1);
        EngineTraits small = new EngineTraits(SLOTS, 9_000, 1, 1);

        assertThat(capacity.firstEventMillis(4_000, NOW))
                .isCloseTo((baseMillis + 4_000 / tokensPerMilli) * pace / 100, Percentage.withPercentage(4));
        double window = Math.min(80, baseMillis) * speed + Math.max(60 * speed, Math.min(210 * speed, 4_001));
        assertThat(SendWindow.maxPrefillTokens(capacity, false, NOW)).isCloseTo(window, Percentage.withPercentage(4));
        assertThat(SendWindow.maxPrefillTokens(capacity, true, NOW))
                .isCloseTo(window * 6 / 14, Percentage.withPercentage(4));
        assertThat((double) HoldingQueue.maxLateTokens(10, 2, service, Optional.of(ample), NOW))
                .isCloseTo(5 * 400 * tokensPerMilli, Percentage.withPercentage(4));
        assertThat(HoldingQueue.maxLateTokens(10, 2, service, Optional.of(small), NOW))
                .isEqualTo(5 * 6_000);
    }

    /** Guards against a target that is slow right now and gets as many requests as the others. */
    @ParameterizedTest
    @CsvSource({"250, 0, i-2", "250, 600, i-1", "100, 0, i-1"})
    void aTargetThatIsSlowNowIsPassedOver(int pace, long later, String chosen) {
        ServiceCapacity service = new ServiceCapacity();
        Target slow = PlacementTest.target("i-1", "north", 1, new PeerLoads(), service);
        Target other = PlacementTest.target("i-2", "north", 1, new PeerLoads(), service);
        slow.capacity().onReported(load(pace), NOW);
        other.capacity().onReported(load(100), NOW);
        other.onSent(new Target.RequestCost(900, 6_000), NOW);

        assertThat(Placement.choose(List.of(slow, other), PlacementTest.query(0, 0), NOW + later))
                .map(choice -> choice.target().id())
                .contains(chosen);
    }

    /** Guards against an old report that decides for a target, or against it, long after the pace has changed. */
    @Test
    void aReportFadesToTheMeanOfAll() {
        TargetCapacity capacity = paced(new ServiceCapacity(), 100);
        for (int report = 1; report <= 100; report++) {
            capacity.onReported(load(report % 5 == 0 ? 300 : 100), NOW + 100L * report);
        }
        long now = NOW + 10_000;

        assertThat(capacity.slowdown(now)).isEqualTo(3);
        assertThat(capacity.slowdown(now + 250)).isBetween(2.1, 2.3);
        assertThat(capacity.slowdown(now + 500)).isBetween(1.2, 1.5);
        assertThat(capacity.slowdown(now + 30_000)).isBetween(1.2, 1.5);
        assertThat(capacity.slowdown(now + ServiceCapacity.PACED_MILLIS)).isEqualTo(1);
    }

    /** A target that restarts under its id may run on another machine, or another release. */
    @Test
    void learnedFiguresAreDroppedWithTheIncarnation() {
        Fleet fleet = new Fleet();
        fleet.onLogAvailable(0);
        fleet.apply("i-1", Optional.of(registration(5_000)), position(1), NOW);
        TargetCapacity before = fleet.find("i-1").orElseThrow().capacity();
        before.onReported(load(900), NOW);
        assertThat(before.slowdown(NOW)).isEqualTo(9);

        fleet.apply("i-1", Optional.of(registration(7_000)), position(2), NOW);

        TargetCapacity after = fleet.find("i-1").orElseThrow().capacity();
        assertThat(after.slowdown(NOW)).isEqualTo(1);
        assertThat(after.usesLearnedFigures(NOW)).isTrue();
    }

    /** Guards against a target that is filled although its last requests made all of them slower. */
    @ParameterizedTest
    @CsvSource({"2, 56", "1, none", "1.2, none"})
    void theKneeIsWhereTimesRiseSteeply(double ratioWhenNearlyFull, String knee) {
        TargetCapacity capacity = paced(new ServiceCapacity(), 100);
        SplittableRandom random = new SplittableRandom(3);
        for (int sample = 0; sample < 3_000; sample++) {
            int requests = random.nextInt(SLOTS);
            double usual = random.nextDouble(0.8, 1.2) * (1 + 0.3 * requests / SLOTS);
            double ratio = requests >= 56 ? usual * ratioWhenNearlyFull : usual;
            capacity.onCall(new CapacityAtSend(0, requests, 1), 20 * ratio, 20, NOW);
        }

        assertThat(capacity.estimate(NOW).orElseThrow().kneeRequests())
                .isEqualTo(knee.equals("none") ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(knee)));
        assertThat(capacity.isBeyondKnee(55, NOW)).isFalse();
        assertThat(capacity.isBeyondKnee(56, NOW)).isEqualTo(!knee.equals("none"));
        assertThat(capacity.isBeyondKnee(64, NOW + 31_000)).isFalse();
    }

    private static TargetCapacity paced(ServiceCapacity service, int percent) {
        TargetCapacity capacity = new TargetCapacity(service, SLOTS);
        capacity.onReported(load(percent), NOW);
        return capacity;
    }

    private static SelfReport.Load load(int pacePercent) {
        return new SelfReport.Load(0, 0, OptionalInt.of(SLOTS), OptionalInt.of(pacePercent));
    }

    private static FirstEventSample idleSample(int number, double pace, double factor) {
        int prompt = number % 4 == 0 ? 9_000 : 800;
        CapacityAtSend idle = new CapacityAtSend(0, 0, pace);
        return new FirstEventSample(idle, prompt, prompt, 0, factor * (50 + prompt / 40.0));
    }

    private static TargetRegistration registration(long startedAt) {
        return new TargetRegistration(
                "i-1",
                startedAt,
                "llm",
                new Address("10.0.0.1", 80),
                "north",
                SLOTS,
                false,
                Map.of("m", 1L),
                OptionalLong.empty(),
                Optional.empty());
    }
}
