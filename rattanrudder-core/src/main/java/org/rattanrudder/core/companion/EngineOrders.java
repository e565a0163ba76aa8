package org.rattanrudder.core.companion;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.log.LogWriterSettings;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.core.orders.DesiredState;
import org.rattanrudder.core.orders.OrderActions;
import org.rattanrudder.core.orders.OrderLedger;
import org.rattanrudder.core.orders.OrderSettings;
import org.rattanrudder.core.orders.TargetKey;
import org.rattanrudder.core.orders.TargetOrders;

/** Orders this companion's engines to the state that their documents ask for. */
final class EngineOrders implements CompanionPart {
    private final long incarnation;
    private final OrderSettings terms;
    private final LogWriter log;
    private final OrderLedger ledger = new OrderLedger();
    private final Map<TargetName, TargetOrders> orders = new TreeMap<>(Comparator.comparing(TargetName::value));
    private final Map<TargetName, HeldTarget> targets = new TreeMap<>(Comparator.comparing(TargetName::value));
    private long lastMicros = Long.MAX_VALUE;

    EngineOrders(long incarnation, OrderSettings terms, RandomGenerator random) {
        this.incarnation = incarnation;
        this.terms = terms;
        this.log = new LogWriter(LogStream.ORDERS, incarnation, LogWriterSettings.DEFAULT, random);
    }

    @Override
    public void configured(Collection<HeldTarget> held, Turn turn) {
        targets.clear();
        for (HeldTarget target : held) {
            if (!target.isReleased() && target.document().model().isPresent()) {
                targets.put(target.name(), target);
                orders.computeIfAbsent(target.name(), name -> newOrders(target))
                        .setDesired(DesiredState.of(target.document().model().get()));
            }
        }
        orders.keySet().retainAll(targets.keySet());
    }

    @Override
    public void handle(CompanionEvent event, Turn turn) {
        long nowMicros = turn.nowMicros();
        if (nowMicros - lastMicros > terms.pauseThresholdMicros()) {
            // Failure: a companion that was frozen, by its machine or a signal, goes on where it stood and gives an
            // order after another took over. Ticks come every 50 ms, so a jump shows the pause, whatever its length.
            orders.values().forEach(TargetOrders::onPause);
            ledger.onPause(nowMicros, terms.staleReadMicros());
            turn.note("paused", "micros", Long.toString(nowMicros - lastMicros));
        }
        lastMicros = nowMicros;
        if (event instanceof CompanionEvent.LogRead read && read.stream() == LogStream.ORDERS) {
            read(read, nowMicros);
        } else if (event instanceof CompanionEvent.LogReadFailed failed && failed.stream() == LogStream.ORDERS) {
            log.onReadFailed();
        } else if (event instanceof CompanionEvent.AppendSettled settled && settled.stream() == LogStream.ORDERS) {
            log.onAppendResult(settled.sequence(), settled.result(), nowMicros);
        } else if (event instanceof CompanionEvent.LoadReported reported && orders.containsKey(reported.target())) {
            orders.get(reported.target()).onVersionReported(reported.load().weightVersion(), nowMicros);
        } else if (event instanceof CompanionEvent.OrderAnswered answered && orders.containsKey(answered.target())) {
            orders.get(answered.target())
                    .onAnswer(answered.fencing(), answered.outcome(), nowMicros, actions(answered.target(), turn));
        } else if (!(event instanceof CompanionEvent.Tick)) {
            return;
        }
        orders.forEach((name, each) -> each.advance(nowMicros, actions(name, turn)));
        log.sendDue(nowMicros, (stream, batch) -> turn.ask(new CompanionEffect.Append(stream, batch)));
    }

    private TargetOrders newOrders(HeldTarget target) {
        return new TargetOrders(new TargetKey(target.service(), target.name()), incarnation, ledger, terms);
    }

    private void read(CompanionEvent.LogRead read, long nowMicros) {
        for (LogRecord record : read.records()) {
            if (ledger.apply(record, nowMicros) && record.batch().writer() == incarnation) {
                record.batch().entries().forEach(entry -> readBack(entry, record.offset(), nowMicros));
            }
        }
        if (read.caughtUp()) {
            ledger.onEndReached(nowMicros);
        }
        log.onRecords(read.records(), read.caughtUp());
    }

    private void readBack(LogEntry entry, long offset, long nowMicros) {
        orders.values().forEach(each -> each.onReadBack(entry, offset, nowMicros));
    }

    private OrderActions actions(TargetName name, Turn turn) {
        HeldTarget target = targets.get(name);
        return new OrderActions() {
            @Override
            public boolean append(LogEntry entry) {
                return log.offer(entry, turn.nowMicros()) == LogWriter.OfferResult.QUEUED;
            }

            @Override
            public void sendOrder(long fencing, DesiredState state) {
                turn.ask(new CompanionEffect.SendOrder(
                        name, target.settings().address(), fencing, state.model(), state.version(), state.adapters()));
            }

            @Override
            public void queryLastOrder() {
                turn.ask(new CompanionEffect.QueryLastOrder(
                        name, target.settings().address()));
            }

            @Override
            public void logEvent(String event, String... fields) {
                turn.note(event, fields);
            }
        };
    }
}
