package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class OrderLeaseTest {
    private static final long HANDOVER = 3_000;

    /** Two relays that both considered themselves holders would make engines load two versions alternately. */
    @Property
    void twoHoldersNeverSendOrdersWithinHandoverTime(
            @ForAll @Size(max = 120) List<@IntRange(max = 5) Integer> actions,
            @ForAll @Size(min = 120, max = 120) List<@IntRange(min = 1, max = 900) Integer> pauses) {
        List<LeaseRecord> log = new ArrayList<>();
        OrderLease[] leases = {new OrderLease("a", HANDOVER), new OrderLease("b", HANDOVER)};
        int[] read = new int[2];
        long[] lastOrder = {Long.MIN_VALUE / 2, Long.MIN_VALUE / 2};
        long now = 0;
        for (int index = 0; index < actions.size(); index++) {
            now += pauses.get(index);
            int who = actions.get(index) % 2;
            if (actions.get(index) / 2 == 0) {
                for (; read[who] < log.size(); read[who]++) {
                    leases[who].onRecord(read[who], log.get(read[who]), now);
                }
                leases[who].advanceTo(log.size());
            } else if (actions.get(index) / 2 == 1 && leases[who].shouldAppend(now)) {
                append(log, leases[who], who, now);
            }
            if (leases[who].isHeld(now, now)) {
                lastOrder[who] = now;
                assertThat(now - lastOrder[1 - who]).isGreaterThanOrEqualTo(HANDOVER);
            }
        }
    }

    private static void append(List<LeaseRecord> log, OrderLease lease, int who, long now) {
        if (lease.appendOffset() != log.size()) {
            lease.onConflict();
            return;
        }
        log.add(new LeaseRecord(who == 0 ? "a" : "b", List.of()));
        lease.onAppended(log.size() - 1, now, now);
    }

    /**
     * A holder is suspended for seconds right before it sends an order; the monotonic clock doesn't count that time.
     */
    @Test
    void suspendedHolderLosesLease() {
        OrderLease lease = new OrderLease("a", HANDOVER);
        lease.advanceTo(0);
        lease.onAppended(0, 1_000, 500_000);

        assertThat(lease.isHeld(1_100, 500_100)).isTrue();
        assertThat(lease.isHeld(1_100, 505_100)).isFalse();
    }
}
