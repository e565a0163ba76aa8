package org.rattanrudder.core.orders;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.rattanrudder.core.companion.CompanionEvent.OrderOutcome;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.core.time.EventTime;

/**
 * Simulates companions, engines and a log in one thread. Appends and orders are delayed or lost, and appends
 * duplicated.
 */
final class OrderSimulation {
    static final ServiceName SERVICE = new ServiceName("palivo-llm");
    static final long TICK_MICROS = 50_000;
    static final OrderSettings SETTINGS =
            new OrderSettings(2_000_000, 12_000_000, 1_000_000, 200_000, 3_000_000, 500_000);

    final Random random;
    final List<LogRecord> log = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    final List<Companion> companions = new ArrayList<>();
    long nowMicros;
    boolean logDown;
    /** Whether machines are suspended while their companions are frozen, which only the time of day shows. */
    boolean clocksStandStill;

    int maxConcurrentLoads;
    private long incarnations;

    OrderSimulation(long seed) {
        random = new Random(seed);
    }

    Engine engine(boolean checksFencing, long loadMicros) {
        Engine engine = new Engine(new TargetName("engine-" + engines.size()), checksFencing, loadMicros);
        engines.add(engine);
        return engine;
    }

    Companion companion(Engine engine) {
        return companion(engine, engine.name.value());
    }

    /** Returns a companion whose document lists the engine under this name. */
    Companion companion(Engine engine, String name) {
        Companion companion = new Companion(engine, new TargetName(name), ++incarnations);
        companions.add(companion);
        return companion;
    }

    /** Starts a successor for the same engine; the predecessor may be frozen, and resume later. */
    void replace(Companion before) {
        Companion after = companion(before.engine, before.target.value());
        if (before.desired != null) {
            after.setDesired(before.desired);
        }
    }

    /** Advances the clock and ticks all companions that aren't frozen. */
    void advance(long micros) {
        long end = nowMicros + micros;
        while (nowMicros < end) {
            nowMicros += TICK_MICROS;
            engines.forEach(Engine::tick);
            maxConcurrentLoads = Math.max(maxConcurrentLoads, (int)
                    engines.stream().filter(engine -> engine.loading != null).count());
            companions.forEach(Companion::deliverCalls);
            companions.stream().filter(each -> !each.frozen).forEach(Companion::tick);
        }
    }

    void setDesired(String version) {
        companions.forEach(each -> each.setDesired(state(version)));
    }

    static DesiredState state(String version) {
        return new DesiredState("palivo", version, List.of());
    }

    /** An engine whose loads take some time and that records the fencing number of each order that took effect. */
    final class Engine {
        final TargetName name;
        final boolean checksFencing;
        final List<Long> effectiveOrders = new ArrayList<>();
        String version = "v0";
        DesiredState loading;
        long fencing;
        private final long loadDurationMicros;
        private long doneMicros;
        private DesiredState lastOrderState;

        Engine(TargetName name, boolean checksFencing, long loadMicros) {
            this.name = name;
            this.checksFencing = checksFencing;
            this.loadDurationMicros = loadMicros;
        }

        OrderOutcome order(long number, DesiredState state) {
            if (checksFencing && number < fencing) {
                return OrderOutcome.FENCED;
            }
            fencing = number;
            effectiveOrders.add(number);
            lastOrderState = state;
            if (state.version().equals(version) && loading == null) {
                return OrderOutcome.DONE;
            }
            loading = state;
            doneMicros = nowMicros + loadDurationMicros;
            return OrderOutcome.STARTED;
        }

        OrderOutcome lastOrderState() {
            if (lastOrderState == null) {
                return OrderOutcome.REFUSED;
            }
            return loading == null ? OrderOutcome.DONE : OrderOutcome.STARTED;
        }

        private void tick() {
            if (loading != null && nowMicros >= doneMicros) {
                version = loading.version();
                loading = null;
            }
        }
    }

    /** One companion of one engine; it may be frozen with calls in flight. */
    final class Companion implements OrderActions {
        final Engine engine;
        final TargetName target;
        final long incarnation;
        final TargetOrders orders;
        DesiredState desired;
        final List<String> loggedEvents = new ArrayList<>();
        boolean frozen;
        /** The share of appends and calls whose request or answer is lost. */
        double lossRatio;

        private final OrderLedger ledger = new OrderLedger();
        private final Deque<LogEntry> outgoing = new ArrayDeque<>();
        private final List<Runnable> calls = new ArrayList<>();
        private final List<Runnable> answers = new ArrayList<>();
        private int position;
        private int lastReadEnd;
        private long sequence;
        private long lastTickMicros = Long.MIN_VALUE;
        private long hiddenMicros;

        Companion(Engine engine, TargetName name, long incarnation) {
            this.engine = engine;
            this.target = name;
            this.incarnation = incarnation;
            this.orders = new TargetOrders(new TargetKey(SERVICE, name), incarnation, ledger, SETTINGS);
        }

        void setDesired(DesiredState state) {
            desired = state;
            orders.setDesired(state);
        }

        /** Delivers calls in flight to the engine, also while their sender is frozen; the answers stay pending. */
        private void deliverCalls() {
            List<Runnable> due = List.copyOf(calls);
            calls.clear();
            due.forEach(Runnable::run);
        }

        private EventTime now() {
            return new EventTime(nowMicros - hiddenMicros, nowMicros);
        }

        void tick() {
            if (clocksStandStill && lastTickMicros != Long.MIN_VALUE) {
                hiddenMicros += Math.max(0, nowMicros - lastTickMicros - TICK_MICROS);
            }
            if (lastTickMicros != Long.MIN_VALUE && nowMicros - lastTickMicros > SETTINGS.pauseThresholdMicros()) {
                orders.onPause();
                ledger.onPause(now().atLeastMicros(), SETTINGS.staleReadMicros());
                handleStaleRead();
            }
            lastTickMicros = nowMicros;
            if (!logDown) {
                flush();
                read();
            }
            List<Runnable> due = List.copyOf(answers);
            answers.clear();
            due.forEach(Runnable::run);
            orders.onVersionReported(engine.version, now().atLeastMicros());
            orders.advance(now(), this);
        }

        /** Handles the result of a log read from before the pause, with the end of the log at that time. */
        private void handleStaleRead() {
            read(lastReadEnd);
            ledger.onEndReached(now().atLeastMicros());
        }

        /** Appends one batch, and a duplicate if the answer was lost. */
        private void flush() {
            if (outgoing.isEmpty() || lossRatio > 0 && random.nextDouble() < lossRatio) {
                return;
            }
            List<LogEntry> entries = new ArrayList<>(outgoing);
            outgoing.clear();
            LogBatch batch = new LogBatch(incarnation, ++sequence, entries);
            log.add(new LogRecord(log.size() + 1, batch));
            if (lossRatio > 0 && random.nextDouble() < lossRatio) {
                log.add(new LogRecord(log.size() + 1, batch));
            }
        }

        private void read() {
            boolean toEnd = lossRatio == 0 || random.nextDouble() >= lossRatio;
            int end = toEnd ? log.size() : position + random.nextInt(log.size() - position + 1);
            read(end);
            lastReadEnd = log.size();
            if (toEnd) {
                ledger.onEndReached(now().atLeastMicros());
            }
        }

        private void read(int end) {
            while (position < end) {
                LogRecord record = log.get(position++);
                if (ledger.apply(record, now().atLeastMicros())
                        && record.batch().writer() == incarnation) {
                    record.batch().entries().forEach(entry -> orders.onReadBack(entry, record.offset(), now()));
                }
            }
        }

        @Override
        public boolean append(LogEntry entry) {
            if (logDown) {
                return false;
            }
            outgoing.add(entry);
            return true;
        }

        @Override
        public void sendOrder(long fencing, DesiredState state) {
            calls.add(() -> {
                boolean reaches = random.nextDouble() >= lossRatio;
                answer(fencing, reaches ? engine.order(fencing, state) : OrderOutcome.LOST);
            });
        }

        @Override
        public void queryLastOrder() {
            calls.add(() -> {
                long fencing = engine.fencing;
                answer(fencing, engine.lastOrderState());
            });
        }

        @Override
        public void logEvent(String event, String... fields) {
            loggedEvents.add(event);
        }

        private void answer(long fencing, OrderOutcome outcome) {
            boolean lost = random.nextDouble() < lossRatio;
            answers.add(() -> orders.onAnswer(fencing, lost ? OrderOutcome.LOST : outcome, now(), this));
        }
    }

    /** Returns the number of leases in the log. */
    long countLeases() {
        return log.stream()
                .flatMap(record -> record.batch().entries().stream())
                .filter(LogEntry.OrderLease.class::isInstance)
                .count();
    }

    /** Returns the number of engines of each version. */
    Map<String, Integer> countVersions() {
        Map<String, Integer> versions = new HashMap<>();
        engines.forEach(engine -> versions.merge(engine.version, 1, Integer::sum));
        return versions;
    }
}
