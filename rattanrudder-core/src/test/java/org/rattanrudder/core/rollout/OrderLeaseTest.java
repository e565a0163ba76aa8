package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.time.Moment;

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
                    leases[who].onRecord(read[who], log.get(read[who]), at(now));
                }
                leases[who].advanceTo(log.size());
            } else if (actions.get(index) / 2 == 1 && leases[who].shouldAppend(at(now))) {
                append(log, leases[who], names[who], at(now));
            } else if (actions.get(index) / 2 == 3) {
                names[who] = name(who, index + 1);
                leases[who] = started(who == 0 ? "a" : "b", index + 1);
                read[who] = 0;
            }
            if (leases[who].isHeld(at(now))) {
                lastOrder[who] = now;
                assertThat(now - lastOrder[1 - who]).isGreaterThanOrEqualTo(HANDOVER);
            }
        }
    }

    private static Moment at(long millis) {
        return new Moment(millis, millis);
    }

    /**
     * Machines are suspended, for longer than a lease, or their time of day jumps; each knows only how much time may
     * have passed at least and at most. A holder that counted too little sent orders beside its successor.
     */
    @Property(tries = 2_000)
    void suspendedHoldersNeverSendOrdersBesideTheirSuccessors(@ForAll long seed) {
        Random random = new Random(seed);
        List<LeaseRecord> log = new ArrayList<>();
        OrderLease[] leases = {started("a", 0), started("b", 0)};
        int[] read = new int[2];
        Moment[] clocks = {at(random.nextInt(10_000)), at(random.nextInt(10_000))};
        long[] resumesAt = new long[2];
        boolean[] doubted = new boolean[2];
        long[] lastOrder = {Long.MIN_VALUE / 2, Long.MIN_VALUE / 2};
        long now = 0;
        for (int step = 0; step < 300; step++) {
            long passed = 1 + random.nextInt(400);
            now += passed;
            for (int who = 0; who < 2; who++) {
                boolean suspended = now < resumesAt[who];
                long uncertain = suspended && doubted[who] || random.nextInt(30) == 0 ? passed : 0;
                clocks[who] = new Moment(
                        clocks[who].atLeastMillis() + (suspended ? passed - uncertain : passed),
                        clocks[who].atMostMillis() + passed + (suspended ? 0 : uncertain));
            }
            int who = random.nextInt(2);
            if (random.nextInt(20) == 0) {
                resumesAt[who] = now + random.nextInt(9_000);
                doubted[who] = random.nextBoolean();
            }
            if (now < resumesAt[who]) {
                continue;
            }
            if (random.nextBoolean()) {
                for (; read[who] < log.size(); read[who]++) {
                    leases[who].onRecord(read[who], log.get(read[who]), clocks[who]);
                }
                leases[who].advanceTo(log.size());
            } else if (leases[who].shouldAppend(clocks[who])) {
                append(log, leases[who], name(who, 0), clocks[who]);
            }
            if (leases[who].isHeld(clocks[who])) {
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

    private static void append(List<LeaseRecord> log, OrderLease lease, String name, Moment now) {
        if (lease.appendOffset() != log.size()) {
            lease.onConflict();
            return;
        }
        log.add(new LeaseRecord(name, List.of()));
        lease.onAppended(log.size() - 1, now);
    }

    /** A holder is suspended for seconds right before it sends an order, and only its time of day shows it. */
    @Test
    void suspendedHolderLosesLease() {
        OrderLease lease = started("a", 0);
        lease.advanceTo(0);
        lease.onAppended(0, at(1_000));

        assertThat(lease.isHeld(at(1_100))).isTrue();
        assertThat(lease.isHeld(new Moment(1_100, 6_100))).isFalse();
    }

    /**
     * The holder ends in a rollout and is back a second later. It waited for the lease of its own earlier process, and
     * engines got no order for seconds after each end of the holder.
     */
    @Test
    void instanceThatRestartsGoesOnWithItsLeaseAtOnce() {
        OrderLease restarted = started("a", 1);
        restarted.onRecord(0, new LeaseRecord("a-0", List.of()), at(1_000));

        assertThat(restarted.isHeld(at(1_000))).isFalse();
        assertThat(restarted.shouldAppend(at(1_000))).isTrue();
    }

    /** Whose record is the last one counts, and names that only begin alike are those of others. */
    @ParameterizedTest
    @ValueSource(strings = {"b-0", "a-b-0", "aa-0", "a"})
    void leaseOfAnotherInstanceIsWaitedFor(String last) {
        OrderLease restarted = started("a", 1);
        restarted.onRecord(0, new LeaseRecord("a-0", List.of()), at(1_000));
        restarted.onRecord(1, new LeaseRecord(last, List.of()), at(1_000));

        assertThat(restarted.shouldAppend(at(1_000))).isFalse();
    }
}
