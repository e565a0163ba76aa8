package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OrderLeaseTest {
    private static final long HANDOVER = 3_000;

    /** Two relays that both considered themselves holders would make engines load two versions alternately. */
    @Property
    void twoHoldersNeverSendOrdersWithinHandoverTime(
            @ForAll @Size(max = 120) List<@IntRange(max = 7) Integer> actions,
            @ForAll @Size(min = 120, max = 120) List<@IntRange(min = 1, max = 900) Integer> pauses) {
        List<LeaseRecord> log = new ArrayList<>();
        OrderLease[] leases = {started("a", 0), started("b", 0)};
        int[] read = new int[2];
        String[] names = {name(0, 0), name(1, 0)};
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
                append(log, leases[who], names[who], now);
            } else if (actions.get(index) / 2 == 3) {
                names[who] = name(who, index + 1);
                leases[who] = started(who == 0 ? "a" : "b", index + 1);
                read[who] = 0;
            }
            if (leases[who].isHeld(now, now)) {
                lastOrder[who] = now;
                assertThat(now - lastOrder[1 - who]).isGreaterThanOrEqualTo(HANDOVER);
            }
        }
    }

    private static String name(int who, int start) {
        return (who == 0 ? "a-" : "b-") + start;
    }

    private static OrderLease started(String instance, int start) {
        return new OrderLease(instance, instance + "-" + start, HANDOVER);
    }

    private static void append(List<LeaseRecord> log, OrderLease lease, String name, long now) {
        if (lease.appendOffset() != log.size()) {
            lease.onConflict();
            return;
        }
        log.add(new LeaseRecord(name, List.of()));
        lease.onAppended(log.size() - 1, now, now);
    }

    /**
     * A holder is suspended for seconds right before it sends an order; the monotonic clock doesn't count that time.
     */
    @Test
    void suspendedHolderLosesLease() {
        OrderLease lease = started("a", 0);
        lease.advanceTo(0);
        lease.onAppended(0, 1_000, 500_000);

        assertThat(lease.isHeld(1_100, 500_100)).isTrue();
        assertThat(lease.isHeld(1_100, 505_100)).isFalse();
    }

    /**
     * The holder ends in a rollout and is back a second later. It waited for the lease of its own earlier process, and
     * engines got no order for seconds after each end of the holder.
     */
    @Test
    void instanceThatRestartsGoesOnWithItsLeaseAtOnce() {
        OrderLease restarted = started("a", 1);
        restarted.onRecord(0, new LeaseRecord("a-0", List.of()), 1_000);

        assertThat(restarted.isHeld(1_000, 1_000)).isFalse();
        assertThat(restarted.shouldAppend(1_000)).isTrue();
    }

    /** Whose record is the last one counts, and names that only begin alike are those of others. */
    @ParameterizedTest
    @ValueSource(strings = {"b-0", "a-b-0", "aa-0", "a"})
    void leaseOfAnotherInstanceIsWaitedFor(String last) {
        OrderLease restarted = started("a", 1);
        restarted.onRecord(0, new LeaseRecord("a-0", List.of()), 1_000);
        restarted.onRecord(1, new LeaseRecord(last, List.of()), 1_000);

        assertThat(restarted.shouldAppend(1_000)).isFalse();
    }
}
