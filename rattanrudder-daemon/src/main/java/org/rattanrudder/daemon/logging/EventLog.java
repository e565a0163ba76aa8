package org.rattanrudder.daemon.logging;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.rattanrudder.core.model.ErrorKind;

/**
 * Writes events to the log, with a rate limit for each kind of event; the number of dropped lines is logged too.
 *
 * <pre>{@code
 * log.info("request_ended", "request", id, "status", "200");
 * }</pre>
 */
public final class EventLog {
    /** The maximum number of lines a second for one kind of event. */
    public static final int LINES_PER_SECOND = 200;

    private static final long SECOND_MICROS = 1_000_000;

    private final Logger logger;
    private final LongSupplier clock;
    private final Map<String, RateLimit> rateLimits = new HashMap<>();

    /**
     * Creates an event log.
     *
     * @param logger the logger that lines are written to
     * @param clock a monotonic clock, in microseconds
     */
    public EventLog(Logger logger, LongSupplier clock) {
        this.logger = logger;
        this.clock = clock;
    }

    /** Logs an event of normal operation. */
    public void info(String event, String... fields) {
        write(ErrorKind.Severity.INFO, event, List.of(fields));
    }

    /** Logs an event that an operator should look into if it is frequent. */
    public void warn(String event, String... fields) {
        write(ErrorKind.Severity.WARN, event, List.of(fields));
    }

    /**
     * Logs an event.
     *
     * @param severity the log level
     * @param event the fixed name of the event
     * @param fields alternating keys and values; never prompts or secrets
     */
    public void write(ErrorKind.Severity severity, String event, List<String> fields) {
        long dropped = acquire(event);
        if (dropped < 0) {
            return;
        }
        if (dropped > 0) {
            logger.warn(
                    LogFields.line("lines_dropped", List.of("dropped_event", event, "count", Long.toString(dropped))));
        }
        String line = LogFields.line(event, fields);
        switch (severity) {
            case ERROR -> logger.error(line);
            case WARN -> logger.warn(line);
            default -> logger.info(line);
        }
    }

    /** Returns the number of lines dropped before this one, or -1 if this one has to be dropped too. */
    private synchronized long acquire(String event) {
        // Under a flood of refusals, logging each one would cost more than the refusal itself and fill the log's disk.
        return rateLimits.computeIfAbsent(event, key -> new RateLimit()).acquire(clock.getAsLong());
    }

    private static final class RateLimit {
        private long secondStartMicros;
        private int written;
        private long dropped;

        long acquire(long nowMicros) {
            if (nowMicros - secondStartMicros >= SECOND_MICROS) {
                secondStartMicros = nowMicros;
                written = 0;
            }
            if (written >= LINES_PER_SECOND) {
                dropped++;
                return -1;
            }
            written++;
            long droppedBefore = dropped;
            dropped = 0;
            return droppedBefore;
        }
    }
}
