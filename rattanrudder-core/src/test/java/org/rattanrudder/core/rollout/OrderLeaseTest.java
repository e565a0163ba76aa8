package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.UnaryOperator;
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

    /** How much longer than its term an answer to an append is waited for. */
    private static final long LATE_ANSWER_MILLIS = 800;

    private static final List<String> ENGINES = List.of("e0", "e1", "e2");

    /** When two processes could order each engine last. */
    private static final class OrderTimes {
        private final Map<String, long[]> lastOrders = new HashMap<>();

        /** Notes that a process could order an engine now, which the other one must not have done lately. */
        private void note(int who, String engine, long now) {
            long[] last =
                    lastOrders.computeIfAbsent(engine, unseen -> new long[] {Long.MIN_VALUE / 2, Long.MIN_VALUE / 2});
            last[who] = now;
            assertThat(now - last[1 - who]).as(engine).isGreaterThanOrEqualTo(HANDOVER);
        }

        /** Notes all engines that a process could order now. */
        private void note(int who, OrderLease lease, Moment clock, long now) {
            ENGINES.stream().filter(engine -> lease.mayOrder(engine, clock)).forEach(engine -> note(who, engine, now));
        }
    }

    /** Returns those of so many engines that a record may name, without some of them. */
    private static List<String> nameable(OrderLease lease, Moment now, int engines, Random random) {
        return ENGINES.subList(0, engines).stream()
                .filter(engine -> lease.mayName(engine, now))
                .filter(engine -> engines == 1 || random.nextInt(3) > 0)
                .toList();
    }

    /** Two relays that both considered themselves holders would make engines load two versions alternately. */
    @Property
    void noEngineGetsOrdersOfTwoHoldersWithinHandoverTime(
            @ForAll @IntRange(min = 1, max = 3) int engines,
            @ForAll @Size(max = 120) List<@IntRange(max = 7) Integer> actions,
            @ForAll @Size(min = 120, max = 120) List<@IntRange(min = 1, max = 900) Integer> pauses) {
        Random random = new Random(actions.hashCode());
        List<LeaseRecord> log = new ArrayList<>();
        OrderLease[] leases = {started("a", 0), started("b", 0)};
        int[] read = new int[2];
        String[] names = {name(0, 0), name(1, 0)};
        OrderTimes orders = new OrderTimes();
        long now = 0;
        for (int index = 0; index < actions.size(); index++) {
            now += pauses.get(index);
            int who = actions.get(index) % 2;
            if (actions.get(index) / 2 == 0) {
                for (; read[who] < log.size(); read[who]++) {
                    leases[who].onRecord(position(read[who]), log.get(read[who]), at(now));
                }
                leases[who].advanceTo(position(log.size()));
                leases[who].onCaughtUp(at(0));
            } else if (actions.get(index) / 2 == 1 && leases[who].shouldAppend(at(now))) {
                append(log, leases[who], names[who], at(now), nameable(leases[who], at(now), engines, random));
            } else if (actions.get(index) / 2 == 3) {
                names[who] = name(who, index + 1);
                leases[who] = started(who == 0 ? "a" : "b", index + 1);
                read[who] = 0;
            }
            orders.note(who, leases[who], at(now), now);
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
    void suspendedHoldersNeverSendOrdersBesideTheirSuccessors(
            @ForAll @IntRange(min = 1, max = 3) int engines, @ForAll long seed) {
        Random random = new Random(seed);
        List<LeaseRecord> log = new ArrayList<>();
        OrderLease[] leases = {started("a", 0), started("b", 0)};
        int[] read = new int[2];
        Moment[] clocks = {at(random.nextInt(10_000)), at(random.nextInt(10_000))};
        long[] resumesAt = new long[2];
        boolean[] doubted = new boolean[2];
        OrderTimes orders = new OrderTimes();
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
                    leases[who].onRecord(position(read[who]), log.get(read[who]), clocks[who]);
                }
                leases[who].advanceTo(position(log.size()));
                leases[who].onCaughtUp(at(0));
            } else if (leases[who].shouldAppend(clocks[who])) {
                List<String> named = nameable(leases[who], clocks[who], engines, random);
                append(log, leases[who], name(who, 0), clocks[who], named);
            }
            orders.note(who, leases[who], clocks[who], now);
        }
    }

    private static String name(int who, int start) {
        return (who == 0 ? "a-" : "b-") + start;
    }

    private static OrderLease started(String instance, int start) {
        return new OrderLease(instance, instance + "-" + start, HANDOVER);
    }

    private static LeaseRecord record(String holder) {
        return new LeaseRecord(holder, OrderLease.LEASE_MILLIS, ENGINES, 0);
    }

    private static void append(List<LeaseRecord> log, OrderLease lease, String name, Moment now, List<String> engines) {
        if (lease.appendPosition().offset() != log.size()) {
            lease.onConflict();
            return;
        }
        LeaseRecord record = new LeaseRecord(name, lease.termMillis(), engines, 0);
        log.add(record);
        lease.onAppended(position(log.size() - 1), record, now, now);
    }

    /** A holder is suspended for seconds right before it sends an order, and only its time of day shows it. */
    @Test
    void suspendedHolderLosesLease() {
        OrderLease lease = started("a", 0);
        lease.advanceTo(position(0));
        lease.onAppended(position(0), record("a-0"), at(1_000), at(1_000));

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
        restarted.onRecord(position(0), record("a-0"), at(1_000));

        assertThat(restarted.isHeld(at(1_000))).isFalse();
        assertThat(restarted.shouldAppend(at(1_000))).isTrue();
    }

    /** The log tells of an earlier holder too, whose time was over before the own earlier process wrote. */
    @Test
    void instanceThatRestartsDoesNotWaitForTheHolderBeforeItsEarlierProcess() {
        OrderLease restarted = started("a", 1);
        restarted.onRecord(position(0), record("b-0"), at(1_000));
        restarted.onRecord(position(1), record("a-0"), at(1_000));
        restarted.onCaughtUp(at(0));

        assertThat(restarted.shouldAppend(at(1_000))).isTrue();
    }

    /** A record named like one of an earlier process ended the wait for a holder that went on: there were two. */
    @Test
    void recordNamedLikeAnEarlierProcessDoesNotEndTheWaitForTheHolder() {
        OrderLease lease = started("a", 1);
        lease.advanceTo(position(0));
        lease.onCaughtUp(at(0));
        lease.onRecord(position(0), record("b-0"), at(1_000));
        lease.onRecord(position(1), record("a-odd"), at(1_010));
        long usualWait = OrderLease.LEASE_MILLIS + HANDOVER;

        assertThat(lease.lastOtherHolder()).isEqualTo("b-0");
        assertThat(lease.shouldAppend(at(1_010))).isFalse();
        assertThat(lease.shouldAppend(at(1_000 + OrderLease.LEASE_MILLIS))).isFalse();
        assertThat(lease.mayName("e0", at(1_000 + usualWait))).isFalse();
        assertThat(lease.shouldAppend(at(1_500 + usualWait))).isTrue();
        assertThat(lease.mayName("e0", at(1_500 + usualWait))).isTrue();
    }

    /** Each holder that ended left all engines without orders for seconds, those that it couldn't have ordered too. */
    @Test
    void successorWaitsForThoseEnginesAloneThatTheHolderCouldOrder() {
        OrderLease lease = started("a", 0);
        lease.onCaughtUp(at(0));
        lease.onRecord(position(0), new LeaseRecord("b-0", OrderLease.LEASE_MILLIS, List.of("e0"), 0), at(1_000));
        Moment afterTerm = at(1_500 + OrderLease.LEASE_MILLIS);

        assertThat(lease.shouldAppend(afterTerm)).isTrue();
        assertThat(lease.mayName("e0", afterTerm)).isFalse();
        assertThat(lease.mayName("e1", afterTerm)).isTrue();
    }

    /** A record that the store had discarded named the engine, so that it got orders of two holders 1.5 s apart. */
    @Test
    void successorThatMissedRecordsWaitsForAllEngines() {
        OrderLease lease = started("a", 0);
        lease.onRecord(position(1), new LeaseRecord("b-0", OrderLease.LEASE_MILLIS, List.of("e1"), 0), at(1_000));
        lease.onCaughtUp(at(0));
        lease.onRecord(position(2), new LeaseRecord("b-0", OrderLease.LEASE_MILLIS, List.of("e2"), 0), at(2_000));
        Moment lastOrdersOver = at(1_500 + OrderLease.LEASE_MILLIS + HANDOVER);

        assertThat(lease.mayName("e0", at(2_500 + OrderLease.LEASE_MILLIS))).isFalse();
        assertThat(lease.mayName("e0", lastOrdersOver)).isTrue();
        assertThat(lease.mayName("e2", lastOrdersOver)).isFalse();
    }

    /** An order that waited for its engine's report left under a later record, of which nobody could read it. */
    @Test
    void holderOrdersOnlyTheEnginesThatItsRecordNames() {
        OrderLease lease = started("a", 0);
        lease.advanceTo(position(0));
        lease.onAppended(position(0), new LeaseRecord("a-0", OrderLease.LEASE_MILLIS, List.of("e0"), 0), at(0), at(10));
        lease.onAppended(
                position(1), new LeaseRecord("a-0", OrderLease.LEASE_MILLIS, List.of("e1"), 0), at(800), at(810));

        assertThat(lease.mayOrder("e0", at(900))).isTrue();
        assertThat(lease.mayOrder("e0", at(1_300))).isFalse();
        assertThat(lease.mayOrder("e1", at(1_300))).isTrue();
        assertThat(lease.mayOrder("e2", at(900))).isFalse();
    }

    /** The earlier process went on with other engines before the time of the holder before it was over. */
    @Test
    void instanceThatRestartsGoesOnWaitingForEnginesThatItsEarlierProcessDidNotName() {
        OrderLease restarted = started("a", 1);
        restarted.onRecord(
                position(0), new LeaseRecord("b-0", OrderLease.LEASE_MILLIS, List.of("e0", "e1"), 0), at(1_000));
        restarted.onRecord(
                position(1), new LeaseRecord("a-0", OrderLease.LEASE_MILLIS, List.of("e1", "e2"), 0), at(1_000));
        restarted.onCaughtUp(at(0));

        assertThat(restarted.shouldAppend(at(1_000))).isTrue();
        assertThat(restarted.mayName("e0", at(1_000))).isFalse();
        assertThat(restarted.mayName("e1", at(1_000))).isTrue();
        assertThat(restarted.mayName("e2", at(1_000))).isTrue();
    }

    /** Whose record is the last one counts, and names that only begin alike are those of others. */
    @ParameterizedTest
    @ValueSource(strings = {"b-0", "a-b-0", "aa-0", "a"})
    void leaseOfAnotherInstanceIsWaitedFor(String last) {
        OrderLease restarted = started("a", 1);
        restarted.onRecord(position(0), record("a-0"), at(1_000));
        restarted.onRecord(position(1), record(last), at(1_000));

        assertThat(restarted.shouldAppend(at(1_000))).isFalse();
    }

    /** Each append took longer than the term, so that the lease was over before any order could be sent. */
    @ParameterizedTest
    @ValueSource(longs = {50, 600, 1_000, 1_300, 2_000, 2_900})
    void leaseLastsBeyondSlowAppends(long appendMillis) {
        OrderLease lease = started("a", 0);
        lease.advanceTo(position(0));
        long now = 0;
        for (int tries = 0; tries < 4 && !lease.isHeld(at(now)); tries++) {
            LeaseRecord record = new LeaseRecord("a-0", lease.termMillis(), List.of(), 0);
            long givenUpAfter = record.termMillis() + LATE_ANSWER_MILLIS;
            long answeredAt = now + Math.min(appendMillis, givenUpAfter);
            if (appendMillis < givenUpAfter) {
                lease.onAppended(lease.appendPosition(), record, at(now), at(answeredAt));
            } else {
                lease.onUnanswered();
                lease.advanceTo(lease.appendPosition().plus(1));
            }
            now = answeredAt;
        }

        assertThat(lease.isHeld(at(now + 100))).isTrue();
    }

    /** Every other append was slow, and each of those took up the whole term, which the fast one before it had cut. */
    @Test
    void oneFastAppendDoesNotCutTheTerm() {
        OrderLease lease = started("a", 0);
        lease.advanceTo(position(0));
        lease.onAppended(position(0), record("a-0"), at(0), at(1_900));
        long slowTerm = lease.termMillis();
        lease.onAppended(position(1), record("a-0"), at(2_000), at(2_010));

        assertThat(slowTerm).isEqualTo(OrderLease.LEASE_MILLIS + 1_900);
        assertThat(lease.termMillis()).isBetween(OrderLease.LEASE_MILLIS + 900, slowTerm);
    }

    /** A single answer was lost: a longer term would only make others wait if the holder ends. */
    @Test
    void oneLostAnswerDoesNotExtendTheTerm() {
        OrderLease lease = started("a", 0);
        lease.advanceTo(position(0));
        lease.onUnanswered();

        assertThat(lease.termMillis()).isEqualTo(OrderLease.LEASE_MILLIS);
    }

    /** An append of a process, which the store carries out some time after it was sent, and answers later. */
    private record Append(LeaseRecord record, long offset, long sentAt, long carriedOutAt, long answeredAt) {
        long givenUpAt() {
            return sentAt + record.termMillis() + LATE_ANSWER_MILLIS;
        }
    }

    /** A store that takes seconds for appends, and goes on with those that were given up. */
    private static final class SlowStore {
        private final List<LeaseRecord> log = new ArrayList<>();
        private final List<Append> received = new ArrayList<>();
        private final List<Append> written = new ArrayList<>();

        void carryOutUntil(long now) {
            received.removeIf(append -> {
                boolean due = now >= append.carriedOutAt();
                if (due && log.size() == append.offset()) {
                    log.add(append.record());
                    written.add(append);
                }
                return due;
            });
        }
    }

    /** A process that makes one append at a time. */
    private static final class SlowAppender {
        private final String name;
        private final OrderLease lease;
        private final SlowStore store;
        private final Random random;
        private final UnaryOperator<LeaseRecord> asRead;
        private Append inFlight;
        private int read;

        SlowAppender(String instance, SlowStore store, Random random) {
            this(instance, store, random, UnaryOperator.identity());
        }

        SlowAppender(String instance, SlowStore store, Random random, UnaryOperator<LeaseRecord> asRead) {
            name = instance + "-0";
            lease = started(instance, 0);
            this.store = store;
            this.random = random;
            this.asRead = asRead;
        }

        /** Creates a process that neither reads nor writes terms. */
        static SlowAppender ofEarlierRelease(String instance, SlowStore store, Random random) {
            return new SlowAppender(instance, store, random, OrderLeaseTest::withoutTerm);
        }

        void hearAnswer(long now) {
            if (inFlight == null || now < Math.min(inFlight.answeredAt(), inFlight.givenUpAt())) {
                return;
            }
            if (now < inFlight.answeredAt()) {
                lease.onUnanswered();
            } else if (store.written.contains(inFlight)) {
                lease.onAppended(position(inFlight.offset()), inFlight.record(), at(inFlight.sentAt()), at(now));
            } else {
                lease.onConflict();
            }
            inFlight = null;
        }

        void readLog(long now) {
            for (; read < store.log.size(); read++) {
                lease.onRecord(position(read), asRead.apply(store.log.get(read)), at(now));
            }
            lease.advanceTo(position(read));
            lease.onCaughtUp(at(0));
        }

        void appendIfDue(long now) {
            if (inFlight != null || !lease.shouldAppend(at(now))) {
                return;
            }
            long carriedOutAt = now + random.nextInt(random.nextInt(4) == 0 ? 6_000 : 400);
            long answeredAt = carriedOutAt + random.nextInt(2_000);
            List<String> named = nameable(lease, at(now), 2, random);
            LeaseRecord record = asRead.apply(new LeaseRecord(name, lease.termMillis(), named, 0));
            inFlight = new Append(record, lease.appendPosition().offset(), now, carriedOutAt, answeredAt);
            store.received.add(inFlight);
        }
    }

    /**
     * The store takes seconds to carry out appends and to answer them, also those that were given up. A successor that
     * knew only of the usual term sent orders beside a holder with a longer one.
     */
    @Property(tries = 2_000)
    void holdersWithSlowAppendsNeverSendOrdersBesideTheirSuccessors(@ForAll long seed) {
        Random random = new Random(seed);
        SlowStore store = new SlowStore();
        assertThatTurnsAreApart(
                store, List.of(new SlowAppender("a", store, random), new SlowAppender("b", store, random)), random);
    }

    /**
     * In a rolling upgrade, a process of an earlier release waits for the usual term only. One that had written to the
     * log sent orders within the handover time of a holder with a longer term.
     */
    @Property(tries = 2_000)
    void holderBesideAnEarlierReleaseKeepsToTheUsualTerm(@ForAll long seed) {
        Random random = new Random(seed);
        SlowStore store = new SlowStore();
        store.log.add(withoutTerm(record("b-earlier")));
        assertThatTurnsAreApart(
                store,
                List.of(new SlowAppender("a", store, random), SlowAppender.ofEarlierRelease("b", store, random)),
                random);
    }

    private static LeaseRecord withoutTerm(LeaseRecord record) {
        return new LeaseRecord(record.holder(), OptionalLong.empty(), record.loading(), 0);
    }

    /** The earlier release's instance is upgraded: it waits for the whole term now. */
    @Test
    void termIsExtendedAgainOnceTheOtherInstanceNamesItsTerm() {
        OrderLease lease = started("a", 0);
        lease.onRecord(position(0), withoutTerm(record("b-0")), at(0));
        lease.onAppended(position(1), record("a-0"), at(10_000), at(11_900));
        long besideEarlierRelease = lease.termMillis();
        lease.onRecord(position(2), record("b-1"), at(20_000));

        assertThat(besideEarlierRelease).isEqualTo(OrderLease.LEASE_MILLIS);
        assertThat(lease.termMillis()).isEqualTo(OrderLease.LEASE_MILLIS + 1_900);
    }

    private static void assertThatTurnsAreApart(SlowStore store, List<SlowAppender> processes, Random random) {
        OrderTimes orders = new OrderTimes();
        long now = 0;
        for (int step = 0; step < 300; step++) {
            now += 1 + random.nextInt(300);
            store.carryOutUntil(now);
            for (SlowAppender process : processes) {
                process.hearAnswer(now);
            }
            SlowAppender acting = processes.get(random.nextInt(2));
            if (random.nextBoolean()) {
                acting.readLog(now);
            } else {
                acting.appendIfDue(now);
            }
            for (int who = 0; who < 2; who++) {
                orders.note(who, processes.get(who).lease, at(now), now);
            }
        }
    }
}
