package org.rattanrudder.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.quarantine.Feature.Kind;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;

/** What crashes under prompts of many parts cost a relay, which serves nothing meanwhile. */
class QuarantineCostTest {
    private static final long UNIX = 50_000_000;
    private static final long GAP_MILLIS = 1_000;

    /** A request is late half a second after its timeout; a relay that stands still for less makes none so late. */
    private static final long MAX_TURN_MILLIS = 500;

    /** A relay reads all answers that another one tells in one turn, or in a few. */
    private static final long MAX_TOLD_MILLIS = 500;

    /**
     * What was measured.
     *
     * @param crashNanos the longest handling of one crash
     * @param answerNanos the longest handling of one answer that another relay tells, with a look at the causes
     * @param allAnswersNanos the handling of such answers for all parts at once
     */
    record Cost(long crashNanos, long answerNanos, long allAnswersNanos) {
        private static long millis(long nanos) {
            return TimeUnit.NANOSECONDS.toMillis(nanos);
        }

        @Override
        public String toString() {
            return "crash %.1f ms, answer %.2f ms, all answers %.1f ms"
                    .formatted(crashNanos / 1e6, answerNanos / 1e6, allAnswersNanos / 1e6);
        }
    }

    /** How the parts of requests are chosen. */
    enum Parts {
        /** Those that aren't a request's own are the same in all requests. */
        SAME,
        /** Those that aren't a request's own are drawn from twice as many, so that all differ in where they were. */
        DRAWN
    }

    private static final Random RANDOM = new Random(88);

    private static Set<Feature> request(Parts choice, int parts, int own, int crash, int number) {
        Set<Feature> features = new HashSet<>();
        for (int part = parts; choice == Parts.DRAWN && part < 2 * parts - own; part++) {
            if (RANDOM.nextBoolean()) {
                features.add(new Feature(Kind.PART, "part" + part));
            }
        }
        for (int part = 0; part < parts; part++) {
            boolean isOwn = part < own;
            if (choice == Parts.DRAWN && !isOwn && RANDOM.nextBoolean()) {
                continue;
            }
            features.add(new Feature(
                    isOwn ? Kind.LAST_PART : Kind.PART, isOwn ? crash + "." + number + "." + part : "part" + part));
        }
        features.add(new Feature(Kind.REQUEST, crash + "/" + number));
        features.add(new Feature(Kind.CUSTOMER, "customer"));
        return features;
    }

    /**
     * Measures crashes under requests with many parts, and answers that clear the shared ones.
     *
     * @param own how many of the parts each request has for itself
     */
    static Cost measure(Parts choice, int parts, int own, int requests, int crashes) {
        Quarantine quarantine = new Quarantine();
        Quarantine toldInBulk = new Quarantine();
        long crashNanos = 0;
        for (int crash = 0; crash < crashes; crash++) {
            List<SuspectRequest> inFlight = new ArrayList<>();
            for (int number = 0; number < requests; number++) {
                inFlight.add(new SuspectRequest(request(choice, parts, own, crash, number), 300));
            }
            long at = crash * GAP_MILLIS;
            TargetCrash report = new TargetCrash("i-" + crash, crash, UNIX + at, inFlight, Set.of());
            crashNanos = Math.max(crashNanos, nanos(() -> {
                quarantine.onCrash(report, true, at);
                return quarantine.quarantinedCount();
            }));
            toldInBulk.onCrash(report, true, at);
        }
        long now = crashes * GAP_MILLIS;
        long answerNanos = 0;
        long allNanos = 0;
        for (int part = own; part < parts; part++) {
            FeatureAnswer answer = new FeatureAnswer(new Feature(Kind.PART, "part" + part), UNIX + now);
            long nanos = nanos(() -> {
                quarantine.onAnswerTold(answer, now);
                return quarantine.quarantinedCount();
            });
            answerNanos = Math.max(answerNanos, nanos);
            allNanos += nanos(() -> {
                toldInBulk.onAnswerTold(answer, now);
                return 0;
            });
        }
        allNanos += nanos(toldInBulk::quarantinedCount);
        return new Cost(crashNanos, answerNanos, allNanos);
    }

    private static long nanos(LongSupplier work) {
        long began = System.nanoTime();
        work.getAsLong();
        return System.nanoTime() - began;
    }

    /** Guards against relays that stand still for seconds under prompts of hundreds of parts. */
    @ParameterizedTest
    @CsvSource({
        "SAME, 700, 0, 12, 3",
        "SAME, 700, 350, 12, 3",
        "SAME, 2400, 1200, 6, 3",
        "SAME, 30, 15, 60, 24",
        "SAME, 3, 1, 60, 24",
        "DRAWN, 700, 350, 12, 3",
        "DRAWN, 30, 10, 60, 24"
    })
    void aCrashAndAnswersAfterItHoldARelayUpForLessThanARequestMayBeLate(
            Parts choice, int parts, int own, int requests, int crashes) {
        Cost cost = measure(choice, parts, own, requests, crashes);

        assertThat(Cost.millis(cost.crashNanos())).as(cost.toString()).isLessThan(MAX_TURN_MILLIS);
        assertThat(Cost.millis(cost.allAnswersNanos())).as(cost.toString()).isLessThan(MAX_TOLD_MILLIS);
    }

    /** Guards against a relay that stands still at its start, when it reads all crashes of the past at once. */
    @Test
    void crashesOfThePastHoldARelayUpForLessThanARequestMayBeLate() {
        assertThat(Cost.millis(pastCrashesNanos(700, 12, 100))).isLessThan(MAX_TURN_MILLIS);
    }

    private static long pastCrashesNanos(int parts, int requests, int crashes) {
        Quarantine quarantine = new Quarantine();
        List<TargetCrash> reports = new ArrayList<>();
        for (int crash = 0; crash < crashes; crash++) {
            List<SuspectRequest> inFlight = new ArrayList<>();
            for (int number = 0; number < requests; number++) {
                inFlight.add(new SuspectRequest(request(Parts.SAME, parts, parts / 2, crash, number), 300));
            }
            reports.add(new TargetCrash("i-" + crash, crash, UNIX + crash * GAP_MILLIS, inFlight, Set.of()));
        }
        return nanos(() -> {
            reports.forEach(report -> quarantine.onPastCrash(report, 0));
            return quarantine.quarantinedCount();
        });
    }

    /** Prints the costs for prompts of more and more parts. */
    public static void main(String[] arguments) {
        measure(Parts.DRAWN, 100, 50, 12, 3);
        measure(Parts.SAME, 30, 15, 60, 24);
        System.out.printf("100 past crashes, 700 parts: %.1f ms%n", pastCrashesNanos(700, 12, 100) / 1e6);
        for (Parts choice : Parts.values()) {
            for (int parts : new int[] {100, 300, 700, 1_400, 2_700}) {
                print(choice, parts, 0, 12, 3);
                print(choice, parts, parts / 2, 12, 3);
            }
            for (int parts : new int[] {3, 10, 30}) {
                print(choice, parts, parts / 2, 60, 24);
            }
        }
    }

    private static void print(Parts choice, int parts, int own, int requests, int crashes) {
        System.out.printf(
                "%s parts %d own %d requests %d crashes %d: %s%n",
                choice, parts, own, requests, crashes, measure(choice, parts, own, requests, crashes));
    }
}
