package org.rattanrudder.core.routing;

import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.TargetName;

/**
 * An entry's view of a target: its settings, its companion's last load report and the entry's own requests.
 *
 * <p>Reports arrive once a second. By reports alone, every entry would send its requests to the same apparently idle
 * target until the next report, and load would oscillate between targets. The estimate therefore adds the entry's own
 * requests in flight, which it knows exactly, to those of other entries, which it derives from the reports and smooths
 * over several of them.
 */
public final class RoutableTarget {
    /** Age in microseconds from which a companion's report is stale, so that the target gets no new work. */
    public static final long MAX_REPORT_AGE_MICROS = 2_000_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * Time constant in microseconds for smoothing the reported requests of other entries. With a shorter one, load
     * oscillates with each report.
     */
    private static final double SMOOTHING_MICROS = 6_000_000;

    private final TargetSettings settings;
    private final long nameHash;
    private Frame.TargetState applyReport;
    private long reportMicros = NEVER;
    private boolean listedLeaving;
    private int ownRequests;
    private double othersRequests;
    private long ownContextMicros;
    private int unacceptedRequests;
    private long unacceptedContextMicros;

    /** Creates a target without a report. */
    public RoutableTarget(TargetSettings settings) {
        this.settings = settings;
        this.nameHash = Hashing.of(settings.name().value());
    }

    /** Returns the target's name. */
    public TargetName name() {
        return settings.name();
    }

    /** Returns the address of its companion. */
    public Address companion() {
        return settings.companion();
    }

    /** Returns the target's failure domain. */
    public String failureDomain() {
        return settings.failureDomain();
    }

    /** Returns the target's settings in its service document. */
    public TargetSettings settings() {
        return settings;
    }

    long nameHash() {
        return nameHash;
    }

    /** Returns a target with new settings; if its companion is the same, it keeps this target's last report. */
    RoutableTarget withSettings(TargetSettings changed) {
        if (changed.equals(settings)) {
            return this;
        }
        RoutableTarget successor = new RoutableTarget(changed);
        if (changed.companion().equals(settings.companion())) {
            successor.applyReport = applyReport;
            successor.reportMicros = reportMicros;
            successor.listedLeaving = listedLeaving;
            successor.othersRequests = othersRequests;
        }
        return successor;
    }

    /** Applies a report of its companion. Attempts that the companion has accepted are included in the report. */
    public void applyReport(Frame.TargetState state, long nowMicros) {
        int counted = Math.max(0, ownRequests - unacceptedRequests);
        int others = Math.max(0, state.running() + state.queued() - counted);
        double weight = applyReport == null ? 1 : 1 - Math.exp((reportMicros - nowMicros) / SMOOTHING_MICROS);
        othersRequests += (others - othersRequests) * weight;
        applyReport = state;
        reportMicros = nowMicros;
        ownContextMicros = unacceptedContextMicros;
    }

    /** Records an attempt sent to the target that may compute or fetch context for the given time. */
    public void onDispatched(long contextMicros) {
        ownRequests++;
        ownContextMicros += contextMicros;
        unacceptedRequests++;
        unacceptedContextMicros += contextMicros;
    }

    /** Records that the companion accepted an attempt; its next report includes it. */
    public void onAccepted(long contextMicros) {
        unacceptedRequests = Math.max(0, unacceptedRequests - 1);
        unacceptedContextMicros = Math.max(0, unacceptedContextMicros - contextMicros);
    }

    /** Records that an attempt at the target has ended. */
    public void onEnded() {
        ownRequests = Math.max(0, ownRequests - 1);
    }

    /** Marks the target as unavailable until its companion's next report. */
    public void markUnavailable() {
        reportMicros = NEVER;
    }

    /** Applies the wait that the companion sent when it rejected an attempt. */
    public void onRejected(long waitMicros, long nowMicros) {
        if (applyReport == null) {
            return;
        }
        applyReport = new Frame.TargetState(
                applyReport.target(),
                applyReport.accepting(),
                applyReport.running(),
                applyReport.queued(),
                Math.max(waitMicros, applyReport.waitMicros() - Math.max(0, nowMicros - reportMicros)),
                applyReport.weightVersion(),
                applyReport.prefillTokensPerSecond(),
                applyReport.fetchBytesPerSecond());
    }

    /** Sets whether the platform's instance list, which may be out of date, shows the target as leaving. */
    public void setListedLeaving(boolean leaving) {
        listedLeaving = leaving;
    }

    /** Returns whether the platform's list shows the target as leaving: only a hint, since its companion decides. */
    public boolean isListedLeaving() {
        return listedLeaving;
    }

    /**
     * Returns whether the target may get new work: its companion reported less than {@link #MAX_REPORT_AGE_MICROS} ago
     * that it accepts work, and the document doesn't drain the target.
     */
    public boolean isEligible(long nowMicros) {
        return applyReport != null
                && applyReport.accepting()
                && !settings.draining()
                && nowMicros - reportMicros < MAX_REPORT_AGE_MICROS;
    }

    /** Returns the last reported weight version; empty if there is no report or no engine. */
    public String weightVersion() {
        return applyReport == null ? "" : applyReport.weightVersion();
    }

    /** Returns whether the target may get new work, and if not, why, as a text for operators. */
    public String eligibility(long nowMicros) {
        if (settings.draining()) {
            return "drained by the document";
        }
        if (reportMicros == NEVER) {
            return "no report from its companion";
        }
        if (nowMicros - reportMicros >= MAX_REPORT_AGE_MICROS) {
            return "its companion's report is too old";
        }
        return applyReport.accepting() ? "eligible" : "its companion accepts no work";
    }

    /**
     * Returns the estimated wait of a new attempt, in microseconds.
     *
     * @param serviceMicros mean time that an attempt occupies the target
     */
    public long waitMicros(long serviceMicros, long nowMicros) {
        if (applyReport == null) {
            return 0;
        }
        long elapsed = nowMicros - reportMicros;
        long remaining = Math.max(0, applyReport.waitMicros() + ownContextMicros - elapsed);
        double ahead = ownRequests + othersRequests - settings.concurrency();
        if (ahead < 0) {
            return remaining;
        }
        return Math.max(remaining, (long) ((ahead + 1) * serviceMicros / settings.concurrency()));
    }

    /** Returns the estimated share of slots in use, from 0; above 1 when attempts are queued. */
    public double utilization() {
        return (ownRequests + othersRequests) / settings.concurrency();
    }

    /** Returns the share of slots in use by the last report, from 0; above 1 when attempts are queued. */
    public double reportedUtilization() {
        return (double) reportedRequests() / settings.concurrency();
    }

    /** Returns the number of running and queued requests by the last report. */
    public int reportedRequests() {
        return applyReport == null ? 0 : applyReport.running() + applyReport.queued();
    }

    /** Returns the time in microseconds to recompute or fetch this much missing context, whichever is faster. */
    public long missingContextMicros(int tokens, ContextCosts costs) {
        long prefill = applyReport == null ? 0 : applyReport.prefillTokensPerSecond();
        long fetch = applyReport == null ? 0 : applyReport.fetchBytesPerSecond();
        return Math.min(costs.recomputeMicros(tokens, prefill), costs.fetchMicros(tokens, fetch));
    }

    @Override
    public String toString() {
        return name().value();
    }
}
