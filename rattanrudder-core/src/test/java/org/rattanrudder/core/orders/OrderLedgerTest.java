package org.rattanrudder.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.core.time.EventTime;

class OrderLedgerTest {
    private static final ServiceName SERVICE = new ServiceName("palivo-llm");
    private static final TargetName ENGINE = new TargetName("engine-1");
    private static final TargetKey KEY = new TargetKey(SERVICE, ENGINE);
    private static final long MINE = 8;
    private static final long OTHER = 7;
    private static final OrderSettings SETTINGS = OrderSimulation.SETTINGS;

    private final OrderLedger ledger = new OrderLedger();

    @Test
    void duplicateClaimAfterItsReleaseIsIgnored() {
        // An append whose answer was lost is sent again, and its duplicate lands behind the release. If it counted, a
        // load that has ended would block the other engines of the service for a quarter of an hour.
        LogBatch claim = new LogBatch(MINE, 1, List.of(claim(MINE)));
        ledger.apply(new LogRecord(1, claim), 0);
        ledger.apply(new LogRecord(2, new LogBatch(MINE, 2, List.of(release(MINE)))), 1);
        ledger.apply(new LogRecord(3, claim), 2);
        assertThat(ledger.hasClaim(new OrderLedger.Claimant(KEY, MINE))).isFalse();
    }

    @Test
    void logEndReadBeforeAPauseExpiresNothing() {
        // A companion that waits for its load is paused with an unread result of a log read. If it took that for the
        // present end of the log, claims that were renewed meanwhile would seem expired and a third engine would load.
        long expiryMicros = OrderSettings.observedTermMicros(SETTINGS.loadTermMicros());
        OrderLedger.Claimant mine = new OrderLedger.Claimant(KEY, MINE);
        ledger.apply(new LogRecord(1, new LogBatch(5, 1, List.of(claim(5)))), 0);
        ledger.apply(new LogRecord(2, new LogBatch(6, 1, List.of(claim(6)))), 0);
        ledger.apply(new LogRecord(3, new LogBatch(MINE, 1, List.of(claim(MINE)))), expiryMicros / 2);
        ledger.onPause(expiryMicros + 1, SETTINGS.staleReadMicros());
        ledger.onEndReached(expiryMicros + 1);
        ledger.apply(new LogRecord(4, new LogBatch(5, 2, List.of(claim(5)))), expiryMicros + 2);
        ledger.apply(new LogRecord(5, new LogBatch(6, 2, List.of(claim(6)))), expiryMicros + 2);
        assertThat(ledger.mayLoad(mine)).isFalse();
        ledger.onEndReached(expiryMicros + 1 + SETTINGS.staleReadMicros());
        assertThat(ledger.mayLoad(mine)).isFalse();
    }

    @ParameterizedTest(name = "renewal read back after {0} of the term: held {1}")
    @CsvSource({"0.9, true", "1.1, false"})
    void renewalReadBackAfterTheTermIsNotHeld(double termShare, boolean held) {
        // The renewal of a claim is slow, and others take its position before the renewal reaches the log. If the
        // holder kept the old position, three engines would load.
        LogBackedLease record = new LogBackedLease(1_000);
        record.onSent(claim(MINE), 0);
        record.onReadBack(claim(MINE), 1, 10);
        record.onSent(claim(MINE), 500);
        long readMicros = Math.round(1_000 * termShare);
        record.onReadBack(claim(MINE), 2, readMicros);
        assertThat(record.isHeld(readMicros)).isEqualTo(held);
    }

    @Test
    void leaseWaitsUntilThePreviousHoldersLeaseHasExpired() {
        // Two companions request the lease at the same time. The second reads its lease back while the first, whose
        // reads lag, is about to send an order. A target that doesn't check fencing numbers would return to an older
        // state.
        TargetOrders orders = new TargetOrders(KEY, MINE, ledger, SETTINGS);
        Recorder actions = new Recorder();
        orders.setDesired(OrderSimulation.state("v1"));
        orders.onVersionReported("v0", 0);
        ledger.apply(new LogRecord(1, new LogBatch(OTHER, 1, List.of(claim(OTHER), release(OTHER)))), 0);
        ledger.onEndReached(0);
        orders.advance(EventTime.certain(0), actions);
        readBack(orders, 2, actions, 0);
        orders.advance(EventTime.certain(0), actions);
        ledger.apply(new LogRecord(3, new LogBatch(OTHER, 2, List.of(lease(OTHER)))), 0);
        readBack(orders, 4, actions, 0);
        orders.advance(EventTime.certain(0), actions);
        assertThat(actions.queryCount)
                .as("queries while the other's lease is unexpired")
                .isZero();
        long expiryMicros = OrderSettings.observedTermMicros(SETTINGS.leaseTermMicros());
        for (long now = 0; now <= 2 * expiryMicros && actions.queryCount == 0; now += OrderSimulation.TICK_MICROS) {
            ledger.onEndReached(now);
            orders.advance(EventTime.certain(now), actions);
            readBack(orders, 5 + now, actions, now);
            assertThat(actions.queryCount == 0 || now >= expiryMicros).isTrue();
        }
        assertThat(actions.queryCount).isPositive();
    }

    private void readBack(TargetOrders orders, long offset, Recorder actions, long now) {
        List<LogEntry> sent = List.copyOf(actions.sent);
        actions.sent.clear();
        if (!sent.isEmpty()) {
            ledger.apply(new LogRecord(offset, new LogBatch(MINE, offset, sent)), now);
            sent.forEach(entry -> orders.onReadBack(entry, offset, EventTime.certain(now)));
        }
    }

    private static LogEntry.LoadClaim claim(long holder) {
        return new LogEntry.LoadClaim(SERVICE, ENGINE, holder, SETTINGS.loadTermMicros() / 1_000);
    }

    private static LogEntry.LoadRelease release(long holder) {
        return new LogEntry.LoadRelease(SERVICE, ENGINE, holder);
    }

    private static LogEntry.OrderLease lease(long holder) {
        return new LogEntry.OrderLease(SERVICE, ENGINE, holder, SETTINGS.leaseTermMicros() / 1_000);
    }

    /** Records the requested actions. */
    private static final class Recorder implements OrderActions {
        private final List<LogEntry> sent = new ArrayList<>();
        private int queryCount;

        @Override
        public boolean append(LogEntry entry) {
            return sent.add(entry);
        }

        @Override
        public void sendOrder(long fencing, DesiredState state) {}

        @Override
        public void queryLastOrder() {
            queryCount++;
        }

        @Override
        public void logEvent(String event, String... fields) {}
    }
}
