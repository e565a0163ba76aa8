package org.rattanrudder.core.entry;

import java.util.OptionalLong;
import org.rattanrudder.core.gateway.ShutdownPolicy;

/** The drain of an entry: which requests it still takes, and when it refuses all. */
final class EntryDrain {
    private static final long MICROS_PER_MILLI = 1_000;

    private final LongestTime longestTime;
    private boolean started;
    private boolean ending;
    private long startMicros;
    private long startAtMostMicros;
    private long graceMillis;

    EntryDrain(LongestTime longestTime) {
        this.longestTime = longestTime;
    }

    /** Starts the drain; the process ends after the grace at the latest. */
    void start(long allowedMillis, long nowMicros) {
        started = true;
        startMicros = nowMicros;
        startAtMostMicros = longestTime.micros();
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
    boolean refuses(Admission.Terms terms) {
        if (!started) {
            return false;
        }
        OptionalLong usual = terms.service().durations(terms.requestClass()).usualLimitMillis();
        long bound = usual.isPresent() ? Long.MAX_VALUE : terms.requestClass().deadlineMillis();
        long sinceMillis = (longestTime.micros() - startAtMostMicros) / MICROS_PER_MILLI;
        return !ShutdownPolicy.finishes(bound, usual, sinceMillis, graceMillis);
    }
}
