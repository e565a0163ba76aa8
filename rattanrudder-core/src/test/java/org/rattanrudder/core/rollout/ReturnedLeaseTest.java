package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;

/** Leases in a log that comes back from older copies. */
class ReturnedLeaseTest {
    private static final long HANDOVER = 3_000;
    private static final List<String> ENGINES = List.of("e0", "e1");

    /** Time after which an append that was sent is answered or given up, in ms. */
    private static final int MAX_APPEND_MILLIS = 1_000;

    private static Moment at(long millis) {
        return new Moment(millis, millis);
    }

    private static LeaseRecord record(String holder, long era) {
        return new LeaseRecord(holder, OrderLease.LEASE_MILLIS, ENGINES, era);
    }

    /** Guards against a holder that goes on with a lease of which the log knows nothing any more. */
    @Test
    void theHolderLosesItsLeaseAndWaitsLikeAllOthers() {
        OrderLease lease = new OrderLease("a", "a-0", HANDOVER);
        lease.advanceTo(new LogPosition(1, 0));
        lease.onAppended(new LogPosition(1, 0), record("a-0", 1), at(1_000), at(1_000));
        assertThat(lease.mayOrder("e0", at(1_100))).isTrue();

        lease.onLogReturned(2, at(1_100));
        lease.advanceTo(new LogPosition(2, 0));

        assertThat(lease.isHeld(at(1_100))).isFalse();
        assertThat(lease.mayOrder("e0", at(1_100))).isFalse();
        assertThat(lease.shouldAppend(at(1_100 + OrderLease.MAX_LEASE_MILLIS))).isFalse();
        assertThat(lease.shouldAppend(at(1_500 + OrderLease.MAX_LEASE_MILLIS))).isTrue();
        assertThat(lease.mayName("e0", at(1_500 + OrderLease.MAX_LEASE_MILLIS))).isFalse();
        assertThat(lease.mayName("e0", at(1_500 + OrderLease.MAX_LEASE_MILLIS + HANDOVER)))
                .isTrue();
    }

    /** Guards against two holders with one fencing token, as offsets are given out again. */
    @Test
    void aTokenOfALaterEraIsHigherThanAllBefore() {
        OrderLease lease = new OrderLease("a", "a-0", HANDOVER);
        lease.onAppended(new LogPosition(1, 40), record("a-0", 1), at(0), at(0));
        long before = lease.fencingToken();
        lease.onLogReturned(2, at(10));
        lease.onAppended(new LogPosition(2, 3), record("a-0", 2), at(9_000), at(9_000));

        assertThat(lease.fencingToken()).isGreaterThan(before);
        assertThat(LeaseTokens.of(new LogPosition(LeaseTokens.MAX_ERA, (1L << 32) - 1)))
                .isLessThan(1L << 53);
    }

    /** Guards against a process that starts after a return and orders beside a holder whose record is lost. */
    @Test
    void whoStartsWaitsUnlessTheNewestRecordIsOfThisEra() {
        OrderLease afterReturn = new OrderLease("a", "a-1", HANDOVER);
        afterReturn.onRecord(new LogPosition(2, 0), record("a-0", 1), at(1_000));
        afterReturn.onCaughtUp(at(1_000));
        OrderLease restarted = new OrderLease("a", "a-1", HANDOVER);
        restarted.onRecord(new LogPosition(2, 0), record("a-0", 2), at(1_000));
        restarted.onCaughtUp(at(1_000));

        assertThat(afterReturn.shouldAppend(at(1_000 + OrderLease.LEASE_MILLIS)))
                .isFalse();
        assertThat(restarted.shouldAppend(at(1_000))).isTrue();
    }

    /** Guards against engines that get no order for seconds after each start of a platform, and against two holders. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, true", "2, false"})
    void whoStartsAtALogWithoutRecordsWaitsOnlyIfItHasComeBack(long era, boolean atOnce) {
        OrderLease lease = new OrderLease("a", "a-0", HANDOVER);
        lease.advanceTo(LogPosition.startOf(era));
        lease.onCaughtUp(at(1_000));

        assertThat(lease.shouldAppend(at(1_000))).isEqualTo(atOnce);
        assertThat(lease.mayName("e0", at(1_000))).isEqualTo(atOnce);
    }

    /** Guards against engines that wait for a holder which can't have ordered them, as a record seems to be missing. */
    @Test
    void theFirstRecordOfAnEraIsBehindNoOther() {
        OrderLease lease = new OrderLease("a", "a-0", HANDOVER);
        lease.advanceTo(LogPosition.startOf(1));
        lease.onCaughtUp(at(500));

        lease.onRecord(
                LogPosition.startOf(1), new LeaseRecord("b-0", OrderLease.LEASE_MILLIS, List.of("e0"), 1), at(1_000));

        assertThat(lease.mayName("e0", at(1_000))).isFalse();
        assertThat(lease.mayName("e1", at(1_000))).isTrue();
    }

    /** Guards against an append that is carried out only after a return, beside a holder whose record is lost. */
    @Test
    void anAppendOfTheEraBeforeTakesNoLease() {
        OrderLease lease = new OrderLease("a", "a-0", HANDOVER);
        lease.advanceTo(new LogPosition(1, 5));
        lease.onCaughtUp(at(1_000));
        LeaseRecord sent = record("a-0", 1);
        lease.onLogReturned(2, at(1_100));

        boolean taken = lease.onAppended(new LogPosition(2, 5), sent, at(1_000), at(1_200));

        assertThat(taken).isFalse();
        assertThat(lease.isHeld(at(1_200))).isFalse();
        assertThat(lease.mayOrder("e0", at(1_200))).isFalse();
    }

    /** A log that loses its newest records now and then. */
    private static final class Log {
        private final List<LeaseRecord> records = new ArrayList<>();
        private long era = 1;

        void returnWithout(int lost) {
            records.subList(Math.max(0, records.size() - lost), records.size()).clear();
            era++;
        }
    }

    /** A process that reads and appends, and learns of a return by its next call. */
    private static final class Relay {
        private final String instance;
        private final Log log;
        private final Random random;
        private OrderLease lease;
        private String name;
        private int start;
        private long era;
        private int read;

        Relay(String instance, Log log, Random random) {
            this.instance = instance;
            this.log = log;
            this.random = random;
            restart();
        }

        void restart() {
            name = instance + "-" + start++;
            lease = new OrderLease(instance, name, HANDOVER);
            era = 0;
            read = 0;
        }

        void readLog(long now) {
            if (!learnEra(now)) {
                return;
            }
            for (; read < log.records.size(); read++) {
                lease.onRecord(new LogPosition(era, read), log.records.get(read), at(now));
            }
            lease.advanceTo(new LogPosition(era, read));
            lease.onCaughtUp(at(now));
        }

        /** Returns whether what it asked for is of the era that the log is in. */
        private boolean learnEra(long now) {
            boolean first = era == 0;
            boolean same = era == log.era || first;
            if (!same) {
                lease.onLogReturned(log.era, at(now));
                read = 0;
            }
            era = log.era;
            return same;
        }

        void append(long now) {
            if (!lease.shouldAppend(at(now))) {
                return;
            }
            LogPosition position = lease.appendPosition();
            List<String> named = ENGINES.stream()
                    .filter(engine -> lease.mayName(engine, at(now)) && random.nextInt(3) > 0)
                    .toList();
            LeaseRecord record = new LeaseRecord(name, lease.termMillis(), named, position.era());
            boolean written = position.offset() == log.records.size();
            if (written) {
                log.records.add(record);
            }
            long answeredAt = now + random.nextInt(MAX_APPEND_MILLIS);
            if (!learnEra(answeredAt)) {
                return;
            }
            if (!written) {
                lease.onConflict();
            } else if (random.nextInt(8) == 0) {
                lease.onUnanswered();
            } else {
                lease.onAppended(position, record, at(now), at(answeredAt));
            }
        }
    }

    /** Guards against orders of two holders to one engine, with one token, or too soon after each other. */
    @Property(tries = 2_000)
    void noTwoHoldersOrderAcrossReturns(@ForAll long seed) {
        Random random = new Random(seed);
        Log log = new Log();
        List<Relay> relays =
                List.of(new Relay("a", log, random), new Relay("b", log, random), new Relay("c", log, random));
        Map<Long, String> holders = new HashMap<>();
        Map<String, Map<String, Long>> lastOrders = new HashMap<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += 1 + random.nextInt(300);
            if (random.nextInt(60) == 0) {
                log.returnWithout(random.nextInt(6));
            }
            Relay acting = relays.get(random.nextInt(relays.size()));
            switch (random.nextInt(20)) {
                case 0 -> acting.restart();
                case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 -> acting.readLog(now);
                default -> acting.append(now);
            }
            for (Relay relay : relays) {
                for (String engine : ENGINES) {
                    if (relay.lease.mayOrder(engine, at(now))) {
                        assertThatOnlyOneOrders(relay, engine, now, holders, lastOrders);
                    }
                }
            }
        }
    }

    private static void assertThatOnlyOneOrders(
            Relay relay,
            String engine,
            long now,
            Map<Long, String> holders,
            Map<String, Map<String, Long>> lastOrders) {
        assertThat(holders.computeIfAbsent(relay.lease.fencingToken(), token -> relay.name))
                .isEqualTo(relay.name);
        Map<String, Long> last = lastOrders.computeIfAbsent(engine, unseen -> new HashMap<>());
        last.put(relay.instance, now);
        last.forEach((other, at) -> assertThat(now - at)
                .as("%s after %s", relay.instance, other)
                .matches(apart -> other.equals(relay.instance) || apart >= HANDOVER));
    }
}
