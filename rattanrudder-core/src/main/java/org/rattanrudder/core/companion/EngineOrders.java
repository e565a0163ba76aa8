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
import org.rattanrudder.core.time.EventTime;

/** Sends orders to this companion's engines until they have the state that their documents specify. */
final class EngineOrders implements CompanionPart {
    private final long incarnation;
    private final OrderSettings settings;
    private final LogWriter log;
    private final OrderLedger ledger = new OrderLedger();
    private final Map<TargetName, TargetOrders> orders = new TreeMap<>(Comparator.comparing(TargetName::value));
    private final Map<TargetName, AssignedTarget> targets = new TreeMap<>(Comparator.comparing(TargetName::value));
    private long lastEventAtMostMicros = Long.MAX_VALUE;

    EngineOrders(long incarnation, OrderSettings settings, RandomGenerator random) {
        this.incarnation = incarnation;
        this.settings = settings;
        this.log = new LogWriter(LogStream.ORDERS, incarnation, LogWriterSettings.DEFAULT, random);
    }

    @Override
    public void onTargetsChanged(Collection<AssignedTarget> assigned, EventContext context) {
        targets.clear();
        for (AssignedTarget target : assigned) {
            if (!target.isReleased() && target.document().model().isPresent()) {
                targets.put(target.name(), target);
                orders.computeIfAbsent(target.name(), name -> newOrders(target))
                        .setDesired(DesiredState.of(target.document().model().get()));
            }
        }
        orders.keySet().retainAll(targets.keySet());
    }

    @Override
    public void handle(CompanionEvent event, EventContext context) {
        long nowMicros = context.nowMicros();
        long pauseMicros = context.now().atMostMicros() - lastEventAtMostMicros;
        lastEventAtMostMicros = context.now().atMostMicros();
        if (pauseMicros > settings.pauseThresholdMicros()) {
            // A companion that was frozen, with its machine or by a signal, would resume where it stopped and could
            // send an order after another took over. Ticks come every 50 ms, so a gap between events shows the pause.
            orders.values().forEach(TargetOrders::onPause);
            ledger.onPause(nowMicros, settings.staleReadMicros());
            context.logEvent("paused", "micros", Long.toString(pauseMicros));
        }
        if (event instanceof CompanionEvent.LogRead read && read.stream() == LogStream.ORDERS) {
            onLogRead(read, context.now());
        } else if (event instanceof CompanionEvent.LogReadFailed failed && failed.stream() == LogStream.ORDERS) {
            log.onReadFailed();
        } else if (event instanceof CompanionEvent.AppendSettled settled && settled.stream() == LogStream.ORDERS) {
            log.onAppendResult(settled.sequence(), settled.result(), nowMicros);
        } else if (event instanceof CompanionEvent.LoadReported reported && orders.containsKey(reported.target())) {
            orders.get(reported.target()).onVersionReported(reported.load().weightVersion(), nowMicros);
        } else if (event instanceof CompanionEvent.OrderAnswered answered && orders.containsKey(answered.target())) {
            orders.get(answered.target())
                    .onAnswer(
                            answered.fencing(), answered.outcome(), context.now(), actions(answered.target(), context));
        } else if (!(event instanceof CompanionEvent.Tick)) {
            return;
        }
        orders.forEach((name, each) -> each.advance(context.now(), actions(name, context)));
        log.sendDue(nowMicros, (stream, batch) -> context.emit(new CompanionEffect.Append(stream, batch)));
    }

    private TargetOrders newOrders(AssignedTarget target) {
        return new TargetOrders(new TargetKey(target.service(), target.name()), incarnation, ledger, settings);
    }

    private void onLogRead(CompanionEvent.LogRead read, EventTime now) {
        for (LogRecord record : read.records()) {
            if (ledger.apply(record, now.atLeastMicros()) && record.batch().writer() == incarnation) {
                record.batch().entries().forEach(entry -> onReadBack(entry, record.offset(), now));
            }
        }
        if (read.caughtUp()) {
            ledger.onEndReached(now.atLeastMicros());
        }
        log.onRecords(read.records(), read.caughtUp());
    }

    private void onReadBack(LogEntry entry, long offset, EventTime now) {
        orders.values().forEach(each -> each.onReadBack(entry, offset, now));
    }

    private OrderActions actions(TargetName name, EventContext context) {
        AssignedTarget target = targets.get(name);
        return new OrderActions() {
            @Override
            public boolean append(LogEntry entry) {
                return log.offer(entry, context.nowMicros()) == LogWriter.OfferResult.QUEUED;
            }

            @Override
            public void sendOrder(long fencing, DesiredState state) {
                context.emit(new CompanionEffect.SendOrder(
                        name, target.settings().address(), fencing, state.model(), state.version(), state.adapters()));
            }

            @Override
            public void queryLastOrder() {
                context.emit(new CompanionEffect.QueryLastOrder(
                        name, target.settings().address()));
            }

            @Override
            public void logEvent(String event, String... fields) {
                context.logEvent(event, fields);
            }
        };
    }
}
