package org.rattanrudder.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.CustomerName;

class FairAdmissionTest {
    private static final CustomerName DEPOT = new CustomerName("depo-sever");
    private static final long SECOND = 1_000_000;

    @Property(seed = "31", tries = 200)
    void staysWithinItsLimitsAndLosesNoRequest(
            @ForAll long randomSeed,
            @ForAll @IntRange(min = 1, max = 9) int slots,
            @ForAll @IntRange(min = 1, max = 20) int queueLength) {
        Random random = new Random(randomSeed);
        AdmissionLimits limits = AdmissionLimits.of(slots, 0, queueLength);
        FairAdmission<Integer> admission = new FairAdmission<>(limits);
        List<Integer> running = new ArrayList<>();
        int admitted = 0;
        long now = 0;
        for (int step = 0; step < 200; step++) {
            now += random.nextInt(100_000);
            AdmissionRequest<Integer> request = check(step, random.nextInt(3), now + random.nextInt(2_000_000));
            if (admission.offer(request, now) instanceof Admission.Queued<Integer> queued) {
                admitted += queued.evicted().isPresent() ? 0 : 1;
            }
            while (random.nextBoolean()) {
                admission.startNext(now).ifPresent(running::add);
            }
            if (!running.isEmpty() && random.nextBoolean()) {
                admission.onFinished(running.remove(0), now);
                admitted--;
            }
            admitted -= admission.removeLate(now).size();
            assertThat(admission.runningCount()).isEqualTo(running.size()).isLessThanOrEqualTo(slots);
            assertThat(admission.queuedCount()).isLessThanOrEqualTo(queueLength);
            assertThat(admission.runningCount() + admission.queuedCount()).isEqualTo(admitted);
        }
    }

    @Test
    void refusesARequestOnArrivalIfItCannotStartInTime() {
        FairAdmission<Integer> admission = measured(1, SECOND);
        for (int item = 1; item <= 3; item++) {
            assertThat(admission.offer(check(item, 0, 10 * SECOND), SECOND)).isInstanceOf(Admission.Queued.class);
            admission.startNext(SECOND);
        }
        assertThat(admission.offer(check(4, 0, 2 * SECOND), SECOND))
                .isEqualTo(new Admission.Refused<Integer>(Admission.Reason.TOO_LATE, 3 * SECOND));
    }

    /**
     * Callers would be refused only after their deadline: the target became slow after a check was queued, and the
     * queue was not checked again before the check's turn.
     */
    @Test
    void removesQueuedRequestsAsSoonAsTheTargetIsKnownToBeTooSlow() {
        FairAdmission<Integer> admission = measured(1, SECOND / 10);
        for (int item = 1; item <= 18; item++) {
            admission.offer(check(item, 0, 5 * SECOND), SECOND);
        }
        admission.startNext(SECOND);
        assertThat(admission.removeLate(SECOND)).isEmpty();

        admission.onFinished(1, 4 * SECOND);
        admission.offer(check(19, 0, 60 * SECOND), 4 * SECOND);
        assertThat(admission.removeLate(4 * SECOND)).contains(18).doesNotContain(2, 19);
    }

    /**
     * An idle target would refuse every check forever: one unusually slow measurement says that no deadline can be
     * met, and without new requests nothing is measured again.
     */
    @Test
    void aRequestThatCanStartNowIsAdmittedWhateverTheEstimate() {
        FairAdmission<Integer> admission = measured(1, 100 * SECOND);

        assertThat(admission.offer(check(1, 0, 2 * SECOND), SECOND)).isInstanceOf(Admission.Queued.class);
        assertThat(admission.startNext(SECOND)).contains(1);
    }

    /**
     * An alarm would wait half a minute if every slot could be taken by inspection summaries, which aren't
     * interrupted.
     */
    @Test
    void lessUrgentRequestsLeaveASlotForUrgentOnes() {
        FairAdmission<Integer> admission = new FairAdmission<>(AdmissionLimits.of(8, 0, 100));
        for (int item = 0; item < 20; item++) {
            admission.offer(check(item, 5, 1_000 * SECOND), 0);
            admission.startNext(0);
        }
        assertThat(admission.runningCount()).isEqualTo(7);

        admission.offer(check(99, 0, SECOND), 0);
        assertThat(admission.startNext(0)).contains(99);
    }

    private static FairAdmission<Integer> measured(int slots, long heldMicros) {
        FairAdmission<Integer> admission = new FairAdmission<>(AdmissionLimits.of(slots, 0, 100));
        admission.offer(check(-1, 0, Long.MAX_VALUE / 2), 0);
        admission.startNext(0);
        admission.onFirstByte(-1, heldMicros);
        admission.onFinished(-1, heldMicros);
        return admission;
    }

    private static AdmissionRequest<Integer> check(int item, int priority, long deadlineMicros) {
        return new AdmissionRequest<>(item, DEPOT, 1, priority == 0 ? "check" : "audit", priority, deadlineMicros);
    }
}
