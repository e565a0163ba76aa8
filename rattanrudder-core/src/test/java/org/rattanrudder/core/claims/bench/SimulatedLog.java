package org.rattanrudder.core.claims.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogRecord;

/** A log with a rate limit across all writers and the delays of a local network, in simulated time. */
final class SimulatedLog {
    private static final long APPEND_MICROS = 2_000;
    private static final long RESPONSE_MICROS = 1_000;
    private static final long READ_MICROS = 1_500;
    private static final long JITTER_MICROS = 1_000;

    private final EventQueue events;
    private final Random random;
    private final double appendsPerSecond;
    private final List<Consumer<LogRecord>> readers = new ArrayList<>();
    private double tokens;
    private long refilledMicros;
    private long offset;
    boolean down;
    long appends;
    long refused;

    SimulatedLog(EventQueue timeline, double appendsPerSecond, Random random) {
        this.events = timeline;
        this.appendsPerSecond = appendsPerSecond;
        this.random = random;
        this.tokens = appendsPerSecond / 10;
    }

    void subscribe(Consumer<LogRecord> reader) {
        readers.add(reader);
    }

    void append(LogBatch batch, Consumer<AppendResult> answer) {
        events.schedule(APPEND_MICROS + jitter(), () -> arrive(batch, answer));
    }

    private void arrive(LogBatch batch, Consumer<AppendResult> answer) {
        double gained = (events.now() - refilledMicros) * appendsPerSecond / 1e6;
        tokens = Math.min(appendsPerSecond / 10, tokens + gained);
        refilledMicros = events.now();
        if (down || tokens < 1) {
            refused++;
            events.schedule(RESPONSE_MICROS, () -> answer.accept(new AppendResult.Refused()));
            return;
        }
        tokens--;
        appends++;
        LogRecord record = new LogRecord(++offset, batch);
        events.schedule(RESPONSE_MICROS, () -> answer.accept(new AppendResult.Appended(record.offset())));
        // The delay is the same for all readers, so that each reads every record once and in order.
        events.schedule(READ_MICROS, () -> readers.forEach(reader -> reader.accept(record)));
    }

    private long jitter() {
        return (long) (-Math.log(1 - random.nextDouble()) * JITTER_MICROS);
    }
}
