package org.rattanrudder.core.entry;

import java.util.OptionalLong;
import org.rattanrudder.core.gateway.ShutdownPolicy;

/** The drain of an entry: which requests it still takes, and when it refuses all. */
final class EntryDrain {
    private static final long MICROS_PER_MILLI = 1_000;

    private boolean started;
    private boolean ending;
    private long startMicros;
    private long graceMillis;

    /** Starts the drain; the process ends after the grace at the latest. */
    void start(long allowedMillis, long nowMicros) {
        started = true;
        startMicros = nowMicros;
        graceMillis = allowedMillis;
    }

    /** Refuses all requests from now on, since the process is about to end. */
    void end() {
        ending = true;
    }

    boolean isStarted() {
        return started;
    }

    /** Returns whether all requests are refused: callers have had time to notice. */
    boolean refusesAll(long nowMicros) {
        return ending || started && nowMicros - startMicros >= EntryMachine.DRAIN_GRACE_MICROS;
    }

    /** Returns whether a request is refused that may not be answered before the process ends. */
    boolean refuses(Admission.Terms terms, long nowMicros) {
        if (!started) {
            return false;
        }
        OptionalLong usual = terms.service().durations(terms.requestClass()).usualLimitMillis();
        long bound = usual.isPresent() ? Long.MAX_VALUE : terms.requestClass().deadlineMillis();
        long sinceMillis = (nowMicros - startMicros) / MICROS_PER_MILLI;
        return !ShutdownPolicy.finishes(bound, usual, sinceMillis, graceMillis);
    }
}
