package org.rattanrudder.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.CustomerName;

class SequentialEngineAdmissionTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 10_000;
    private static final long COMPUTE = 300_000;
    private static final long DECODE = 700_000;
    private static final long DEADLINE = 10 * SECOND;

    private final FairAdmission<Integer> admission = new FairAdmission<>(AdmissionLimits.of(16, 0, 64));
    private final Queue<Integer> uncomputed = new ArrayDeque<>();
    private final List<Long> arrivals = new ArrayList<>();
    private final Queue<Integer> decoding = new ArrayDeque<>();
    private final Queue<Long> decodedAt = new ArrayDeque<>();
    private int refusedAtOnce;
    private int refusedLate;
    private int answeredInTime;
    private int answeredLate;
    private long computedAt;

    /**
     * Callers would be refused after eight seconds or not at all. The engine has 16 slots but computes one prompt at
     * a time, so a prompt's first byte arrives later the more prompts have started. Estimates from the first
     * prompts, which met an idle engine, are too low for all later ones.
     */
    @Test
    void refusesOnArrivalAndAnswersNothingLateAtThreeTimesTheEnginesCapacity() {
        Random random = new Random(20261202);
        double next = 0;
        for (long now = 0; now < 60 * SECOND; now += STEP) {
            while (next <= now) {
                arrive(now);
                next += -Math.log(1 - random.nextDouble()) * SECOND / 10;
            }
            compute(now);
            if (now % 50_000 == 0) {
                refusedLate += admission.removeLate(now).size();
            }
            startAll(now);
        }
        SoftAssertions.assertSoftly(softly -> {
            softly.assertThat(answeredInTime).as("answered in time").isGreaterThan(170);
            softly.assertThat(answeredLate).as("answered late").isZero();
            softly.assertThat(refusedLate)
                    .as("refused while they waited, beside %d at once", refusedAtOnce)
                    .isLessThanOrEqualTo(refusedAtOnce / 100);
        });
    }

    /**
     * After a slow minute an engine is fast again, but bursts would still be refused: at the rate of that minute no
     * request may be queued, and the rate is measured anew only while requests are queued.
     */
    @Test
    void queuesRequestsAgainOnceASlowEngineHasRecovered() {
        FairAdmission<Integer> small = new FairAdmission<>(AdmissionLimits.of(2, 0, 64));
        long now = 0;
        for (int item = 0; item < 12; item++) {
            small.offer(check(item, now + 1_000 * SECOND), now);
        }
        for (int item = 0; item < 12; item++) {
            now += item < 11 ? SECOND : 0;
            now = answerNext(small, now, 0);
        }
        for (int round = 0; round < 40; round++) {
            small.offer(check(100 + round, now + DEADLINE), now);
            now = answerNext(small, now, 10_000);
        }

        for (int item = 200; item < 202; item++) {
            small.offer(check(item, now + SECOND), now);
            small.startNext(now);
        }
        assertThat(small.offer(check(300, now + SECOND), now)).isInstanceOf(Admission.Queued.class);
    }

    private static long answerNext(FairAdmission<Integer> admission, long now, long micros) {
        int item = admission.startNext(now).orElseThrow();
        admission.onFirstByte(item, now + micros);
        admission.onFinished(item, now + micros);
        return now + micros;
    }

    private static AdmissionRequest<Integer> check(int item, long deadlineMicros) {
        return new AdmissionRequest<>(item, new CustomerName("depo"), 1, "check", 0, deadlineMicros);
    }

    private void arrive(long now) {
        int item = arrivals.size();
        arrivals.add(now);
        CustomerName customer = new CustomerName("depo-" + item % 3);
        AdmissionRequest<Integer> request =
                new AdmissionRequest<>(item, customer, item % 3 == 0 ? 40 : 30, "check", 0, now + DEADLINE);
        if (admission.offer(request, now) instanceof Admission.Queued<Integer> queued) {
            refusedLate += queued.evicted().isPresent() ? 1 : 0;
        } else {
            refusedAtOnce++;
        }
        startAll(now);
    }

    private void compute(long now) {
        if (!uncomputed.isEmpty() && now >= computedAt) {
            int item = uncomputed.remove();
            admission.onFirstByte(item, now);
            answeredInTime += now - arrivals.get(item) <= DEADLINE ? 1 : 0;
            answeredLate += now - arrivals.get(item) > DEADLINE ? 1 : 0;
            decoding.add(item);
            decodedAt.add(now + DECODE);
            computedAt = now + COMPUTE;
        }
        while (!decodedAt.isEmpty() && decodedAt.peek() <= now) {
            decodedAt.remove();
            admission.onFinished(decoding.remove(), now);
        }
    }

    private void startAll(long now) {
        admission.startNext(now).ifPresent(item -> {
            computedAt = uncomputed.isEmpty() ? Math.max(computedAt, now + COMPUTE) : computedAt;
            uncomputed.add(item);
            startAll(now);
        });
    }
}
