package org.rattanrudder.daemon.relay.process;

import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.time.ClockDisturbance;
import org.rattanrudder.daemon.logging.EventLog;
import org.rattanrudder.daemon.loop.ProcessClock;

/** Logs suspensions of the machine and jumps of the time of day, and shows what is counted of them. */
final class ClockLog {
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private ClockLog() {}

    static void register(RelayState state) {
        ProcessClock clock = state.clock();
        clock.setListener(disturbance -> write(state.log(), disturbance));
        RelayMetrics metrics = state.metrics();
        metrics.gauge(
                "rattanrudder_relay_suspended_seconds",
                "For how long the machine was suspended for certain since the start",
                () -> clock.certainSurplusMillis() / MILLIS_PER_SECOND);
        metrics.gauge(
                "rattanrudder_relay_suspended_at_most_seconds",
                "For how long the machine may have been suspended since the start",
                () -> clock.possibleSurplusMillis() / MILLIS_PER_SECOND);
        metrics.gauge(
                "rattanrudder_relay_boot_clock_believed",
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
