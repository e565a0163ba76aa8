package org.rattanrudder.daemon.entry;

import java.util.Optional;
import org.rattanrudder.core.burn.BurnLedger;
import org.rattanrudder.core.burn.BurnSnapshot;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.EntrySettings;
import org.rattanrudder.core.entry.RequestSummary;
import org.rattanrudder.daemon.loop.ProcessClock;
import org.rattanrudder.daemon.metrics.EntryMetrics;

/** Counts ended requests for metrics and for the burn report. */
final class RequestAccounts implements RequestRecorder {
    private final long startMillis = System.currentTimeMillis();
    private final ProcessClock clock;
    private final long startedAt;
    private final BurnLedger burn;
    private final EntryMetrics metrics;

    RequestAccounts(EntrySettings settings, EntryMetrics metrics, ProcessClock clock) {
        this.metrics = metrics;
        this.clock = clock;
        startedAt = clock.atLeastMillis();
        burn = new BurnLedger(
                Long.toHexString(settings.incarnation()),
                settings.instance().value(),
                settings.failureDomain(),
                startMillis);
    }

    @Override
    public synchronized void record(RequestSummary summary, Optional<RequestClass> objective) {
        metrics.record(summary, objective);
        objective.ifPresent(requestClass -> burn.record(summary, requestClass, nowMillis()));
    }

    /** Returns what has been counted; asked by I/O threads. */
    synchronized BurnSnapshot burn() {
        return burn.snapshot(nowMillis());
    }

    /** The time of day, counted on from the start, so that a wall clock that is set never makes counts vanish. */
    private long nowMillis() {
        return startMillis + clock.atLeastMillis() - startedAt;
    }
}
