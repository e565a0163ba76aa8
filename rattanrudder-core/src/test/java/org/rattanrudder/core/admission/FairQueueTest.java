package org.rattanrudder.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.CustomerName;

class FairQueueTest {
    private static final List<CustomerName> CUSTOMERS =
            List.of(new CustomerName("large"), new CustomerName("middle"), new CustomerName("small"));

    @Property(seed = "21", tries = 300)
    void servesAndEvictsLikeTheNaiveImplementation(
            @ForAll long randomSeed, @ForAll @IntRange(min = 1, max = 24) int capacity) {
        Random random = new Random(randomSeed);
        FairQueue<Integer> queue = new FairQueue<>(capacity);
        NaiveQueue naive = new NaiveQueue(capacity);
        for (int step = 0; step < 150; step++) {
            int action = random.nextInt(10);
            if (action < 5) {
                QueuedRequest<Integer> request = request(step, random);
                assertThat(queue.add(request).map(QueuedRequest::item)).isEqualTo(naive.add(request));
            } else if (action < 9) {
                int maxPriority = random.nextInt(4);
                assertThat(queue.next(maxPriority).map(QueuedRequest::item)).isEqualTo(naive.next(maxPriority));
            } else {
                int item = random.nextInt(step + 1);
                assertThat(queue.remove(item).isPresent()).isEqualTo(naive.remove(item));
            }
            assertThat(queue.size()).isEqualTo(naive.size()).isLessThanOrEqualTo(capacity);
            assertThat(queue.priorities().stream()
                            .mapToInt(priority -> queue.inOrder(priority).size())
                            .sum())
                    .isEqualTo(queue.size());
        }
    }

    @Property(seed = "22", tries = 50)
    void servesBackloggedCustomersInProportionToTheirShares(
            @ForAll @IntRange(min = 1, max = 8) int largeShare, @ForAll @IntRange(min = 1, max = 5) int costMillis) {
        FairQueue<Integer> queue = new FairQueue<>(4_000);
        for (int item = 0; item < 2_000; item++) {
            boolean large = item % 2 == 0;
            long cost = large ? 1_000 : costMillis * 1_000L;
            queue.add(new QueuedRequest<>(item, CUSTOMERS.get(large ? 0 : 2), large ? largeShare : 1, 0, item, cost));
        }
        double largeService = 0;
        double smallService = 0;
        for (int served = 0; served < 300; served++) {
            QueuedRequest<Integer> request = queue.next(0).orElseThrow();
            if (request.share() == largeShare && request.item() % 2 == 0) {
                largeService += request.costMicros();
            } else {
                smallService += request.costMicros();
            }
        }
        // The difference is at most one request of each customer, in proportion to the share.
        assertThat(Math.abs(largeService / largeShare - smallService)).isLessThanOrEqualTo(1_000 + costMillis * 1_000);
    }

    /**
     * With strict priority, an audit would be queued and never answered while checks arrive as fast as they are
     * served.
     */
    @Property(seed = "23", tries = 50)
    void lessUrgentRequestsGetTheirGuaranteedShareUnderConstantUrgentLoad(
            @ForAll @IntRange(min = 1, max = 20) int audits, @ForAll @IntRange(min = 1, max = 10) int auditCost) {
        FairQueue<Integer> queue = new FairQueue<>(400);
        for (int audit = 0; audit < audits; audit++) {
            queue.add(new QueuedRequest<>(-1 - audit, CUSTOMERS.get(1), 1, 5, audit, auditCost * 1_000L));
        }
        int checksServed = 0;
        int auditsServed = 0;
        while (auditsServed < audits) {
            queue.add(new QueuedRequest<>(checksServed, CUSTOMERS.get(0), 1, 0, checksServed, 1_000));
            if (queue.next(9).orElseThrow().priority() == 5) {
                auditsServed++;
            } else {
                checksServed++;
            }
            long bound = (long) (FairQueue.GUARANTEED_SHARE_DIVISOR - 1) * auditCost * (auditsServed + 1)
                    + FairQueue.GUARANTEED_SHARE_DIVISOR;
            assertThat((long) checksServed)
                    .as("checks before audit %d", auditsServed + 1)
                    .isLessThanOrEqualTo(bound);
        }
        assertThat(checksServed)
                .isGreaterThanOrEqualTo((FairQueue.GUARANTEED_SHARE_DIVISOR - 1) * auditCost * audits
                        - FairQueue.GUARANTEED_SHARE_DIVISOR);
    }

    @Test
    void aFullQueueEvictsTheLeastUrgentDownToTheirGuaranteedShare() {
        FairQueue<Integer> queue = new FairQueue<>(10);
        for (int audit = 0; audit < 10; audit++) {
            queue.add(new QueuedRequest<>(audit, CUSTOMERS.get(0), 1, 5, audit, 1_000));
        }
        for (int check = 10; check < 19; check++) {
            Optional<QueuedRequest<Integer>> evicted =
                    queue.add(new QueuedRequest<>(check, CUSTOMERS.get(1), 1, 0, check, 1_000));
            assertThat(evicted.map(QueuedRequest::item)).contains(19 - check);
        }
        QueuedRequest<Integer> excess = new QueuedRequest<>(19, CUSTOMERS.get(1), 1, 0, 19, 1_000);
        assertThat(queue.add(excess)).contains(excess);
        assertThat(queue.hasLessUrgent(0)).isTrue();
    }

    private static QueuedRequest<Integer> request(int item, Random random) {
        int customer = random.nextInt(3);
        return new QueuedRequest<>(
                item, CUSTOMERS.get(customer), 4 >> customer, random.nextInt(3), item, 1_000 + random.nextInt(5_000));
    }
}
