package org.rattanrudder.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.rattanrudder.core.quarantine.Feature.Kind;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;

/** Compares the causes that are found in groups of features with those that are found feature by feature. */
class CauseFinderModelTest {
    private static final long UNIX = 50_000_000;
    private static final int STEPS = 60;
    private static final long STEP_MILLIS = 400;

    /** A history of crashes, answers and forgetting. */
    private static final class History {
        private final CrashEvidence evidence = new CrashEvidence();
        private final AnsweredFeatures answers = new AnsweredFeatures(evidence.index()::onAnswerChanged);
        private final Random random;
        private final int prompts;
        private final int shared;
        private final int causes;
        private final Set<Feature> seen = new HashSet<>();
        private final List<TargetCrash> reports = new ArrayList<>();
        private long now = 1_000_000;
        private int unique;

        /** When the relay started; reports of crashes before it are of the past. */
        private final long startedAt;

        History(long seed, int prompts, int shared, int causes) {
            random = new Random(seed);
            startedAt = now + random.nextInt(3) * STEPS * STEP_MILLIS / 4;
            this.prompts = prompts;
            this.shared = shared;
            this.causes = causes;
        }

        private Set<Feature> request(boolean crashes) {
            Set<Feature> features = new HashSet<>();
            int prompt = random.nextInt(prompts);
            for (int part = 0; part < shared; part++) {
                features.add(new Feature(Kind.PART, "p" + prompt + "x" + part));
            }
            for (int part = 0; part < random.nextInt(3); part++) {
                features.add(new Feature(Kind.PART, "any" + random.nextInt(8)));
            }
            if (crashes) {
                features.add(new Feature(Kind.PART, "cause" + random.nextInt(causes)));
            }
            features.add(new Feature(Kind.REQUEST, "r" + (random.nextInt(4) == 0 ? random.nextInt(3) : unique++)));
            features.add(new Feature(Kind.CUSTOMER, "c" + random.nextInt(2)));
            seen.addAll(features);
            return features;
        }

        private void crash() {
            List<SuspectRequest> requests = new ArrayList<>();
            for (int request = 0; request < 1 + random.nextInt(4); request++) {
                requests.add(new SuspectRequest(request(request == 0), random.nextInt(800)));
            }
            Set<Feature> answered = new HashSet<>();
            requests.forEach(request -> request.features().stream()
                    .filter(feature -> random.nextInt(6) == 0)
                    .forEach(answered::add));
            int target = random.nextInt(200);
            report(new TargetCrash("i-" + target, target, UNIX + now - random.nextInt(300), requests, answered));
        }

        private void report(TargetCrash crash) {
            reports.add(crash);
            evidence.add(crash, random.nextBoolean(), now >= startedAt && random.nextInt(8) > 0, now);
        }

        private void answer() {
            List<Feature> all = seen.stream().sorted().toList();
            for (int count = random.nextInt(4); count > 0 && !all.isEmpty(); count--) {
                long clears = random.nextBoolean() ? 0 : UNIX + now - random.nextInt(5_000);
                answers.record(new FeatureAnswer(all.get(random.nextInt(all.size())), clears), now);
            }
        }

        void step() {
            now += random.nextInt((int) STEP_MILLIS);
            switch (random.nextInt(10)) {
                case 0, 1, 2, 3, 4 -> crash();
                case 5 -> {
                    if (!reports.isEmpty()) {
                        report(reports.get(random.nextInt(reports.size())));
                    }
                }
                case 6 -> evidence.removeBefore(now - 20 * STEP_MILLIS);
                default -> answer();
            }
        }
    }

    /** Guards against another verdict by groups than by features. */
    @Property(tries = 300, seed = "88")
    void groupsAndFeaturesLeadToTheSameVerdicts(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int prompts,
            @ForAll @IntRange(max = 12) int shared,
            @ForAll @IntRange(min = 1, max = 3) int causes) {
        History history = new History(seed, prompts, shared, causes);
        for (int step = 0; step < STEPS; step++) {
            // Several changes at once are applied as one by one.
            for (int more = history.random.nextInt(4) == 0 ? 3 : 1; more > 0; more--) {
                history.step();
            }

            CauseFinder finder = CauseFinder.find(history.evidence, history.answers);
            ReferenceCauseFinder reference = ReferenceCauseFinder.find(history.evidence, history.answers);

            assertThat(finder.causes().stream()
                            .map(found -> new ReferenceCauseFinder.Found(found.cause(), found.crashes()))
                            .toList())
                    .isEqualTo(reference.causes());
            assertThat(history.seen.stream().filter(finder::isNearlyBlamed))
                    .containsExactlyInAnyOrderElementsOf(reference.nearlyBlamed());
            assertThat(finder.suspectCount())
                    .isEqualTo(reference.crashesByFeature().size());
            history.seen.forEach(feature -> assertThat(finder.suspectedCrashes(feature))
                    .isEqualTo(reference
                            .crashesByFeature()
                            .getOrDefault(feature, List.of())
                            .size()));
        }
    }
}
