package org.rattanrudder.daemon.loop;

import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.rattanrudder.core.time.ClockDisturbance;
import org.rattanrudder.daemon.logging.EventLog;

/** Logs suspensions of the machine and jumps of the time of day, and shows what is counted of them. */
public final class ClockLog {
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private ClockLog() {}

    /** How the gauges are called. */
    public enum GaugeNames {
        /** At a relay. */
        RELAY(
                "rattanrudder_relay_suspended_seconds",
                "rattanrudder_relay_suspended_at_most_seconds",
                "rattanrudder_relay_boot_clock_believed"),
        /** At an entry or a companion. */
        ENTRY_OR_COMPANION(
                "rattanrudder_suspended_seconds",
                "rattanrudder_suspended_at_most_seconds",
                "rattanrudder_boot_clock_believed");

        private final String suspended;
        private final String suspendedAtMost;
        private final String bootClockBelieved;

        GaugeNames(String suspended, String suspendedAtMost, String bootClockBelieved) {
            this.suspended = suspended;
            this.suspendedAtMost = suspendedAtMost;
            this.bootClockBelieved = bootClockBelieved;
        }
    }

    /** Registers gauges whose values are read whenever the metrics are. */
    @FunctionalInterface
    public interface Gauges {
        /** Registers a gauge. */
        void gauge(String name, String help, DoubleSupplier value);
    }

    /**
     * Logs what a clock notices from now on.
     *
     * @param names the names of the gauges
     */
    public static void register(ProcessClock clock, EventLog log, GaugeNames names, Gauges metrics) {
        clock.setListener(disturbance -> write(log, disturbance));
        metrics.gauge(
                names.suspended,
                "For how long the machine was suspended for certain since the start",
                () -> clock.certainSurplusMillis() / MILLIS_PER_SECOND);
        metrics.gauge(
                names.suspendedAtMost,
                "For how long the machine may have been suspended since the start",
                () -> clock.possibleSurplusMillis() / MILLIS_PER_SECOND);
        metrics.gauge(
                names.bootClockBelieved,
                "1 if the clock that counts suspensions is believed against the time of day",
                () -> clock.isBootClockBelieved() ? 1 : 0);
    }

    private static void write(EventLog log, ClockDisturbance disturbance) {
        log.warn(
                "clock_disturbed",
                "kind",
                disturbance.kind().wireName(),
                "time_of_day_ms",
                Long.toString(disturbance.timeOfDayMillis()),
                "boot_clock_ms",
                disturbance.bootMillis().isPresent()
                        ? Long.toString(disturbance.bootMillis().getAsLong())
                        : "unknown",
                "suspended_at_least_ms",
                Long.toString(disturbance.atLeastMillis()),
                "suspended_at_most_ms",
                Long.toString(disturbance.atMostMillis()));
    }
}
