package org.rattanrudder.core.routing;

import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.TargetName;

/**
 * A target as an entry knows it: its settings, its companion's last report, and what the entry itself has sent there
 * since.
 *
 * <p>Reports come each second, so between two of them every entry would send to the same target that looked idle, and
 * load would swing from one to the next. What an entry itself has under way it knows at any time; what the others have
 * it takes from the reports, smoothed over a few of them.
 */
public final class RoutableTarget {
    /** How old a companion's report may be for new work to be sent, in microseconds. */
    public static final long FRESH_MICROS = 2_000_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * Over how long the reports of what others have under way are smoothed, in microseconds; over less, load swings
     * with each report.
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

    /** Creates a target of which nothing has been heard yet. */
    public RoutableTarget(TargetSettings settings) {
        this.settings = settings;
        this.nameHash = Hashing.of(settings.name().value());
    }

    /** Returns its name. */
    public TargetName name() {
        return settings.name();
    }

    /** Returns the address of its companion. */
    public Address companion() {
        return settings.companion();
    }

    /** Returns the failure domain it stands in. */
    public String failureDomain() {
        return settings.failureDomain();
    }

    /** Returns how its document describes it. */
    public TargetSettings settings() {
        return settings;
    }

    long nameHash() {
        return nameHash;
    }

    /** Returns a target with new settings that keeps what is known of this one. */
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

    /** Takes its companion's report. Attempts that the companion had accepted by then are counted in it. */
    public void applyReport(Frame.TargetState state, long nowMicros) {
        int counted = Math.max(0, ownRequests - unacceptedRequests);
        int others = Math.max(0, state.running() + state.queued() - counted);
        double weight = applyReport == null ? 1 : 1 - Math.exp((reportMicros - nowMicros) / SMOOTHING_MICROS);
        othersRequests += (others - othersRequests) * weight;
        applyReport = state;
        reportMicros = nowMicros;
        ownContextMicros = unacceptedContextMicros;
    }

    /** Notes that an attempt was sent there which may compute or fetch context for the given time. */
    public void onDispatched(long contextMicros) {
        ownRequests++;
        ownContextMicros += contextMicros;
        unacceptedRequests++;
        unacceptedContextMicros += contextMicros;
    }

    /** Notes that the companion said that it has the attempt: its next report counts it. */
    public void accepted(long contextMicros) {
        unacceptedRequests = Math.max(0, unacceptedRequests - 1);
        unacceptedContextMicros = Math.max(0, unacceptedContextMicros - contextMicros);
    }

    /** Notes that an attempt there has ended. */
    public void ended() {
        ownRequests = Math.max(0, ownRequests - 1);
    }

    /** Notes that its companion takes no more work until it reports otherwise. */
    public void markUnavailable() {
        reportMicros = NEVER;
    }

    /** Takes the wait that a companion named when it refused an attempt. */
    public void refusedWithWait(long waitMicros, long nowMicros) {
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

    /** Notes what the platform's lagging list says of it. */
    public void listed(boolean leaving) {
        listedLeaving = leaving;
    }

    /** Returns whether the platform's list says that it leaves: a hint, since its companion has the last word. */
    public boolean isListedLeaving() {
        return listedLeaving;
    }

    /**
     * Returns whether new work may be sent there: its companion said so less than {@link #FRESH_MICROS} ago, and no
     * operator drains it.
     */
    public boolean isEligible(long nowMicros) {
        return applyReport != null
                && applyReport.accepting()
                && !settings.draining()
                && nowMicros - reportMicros < FRESH_MICROS;
    }

    /** Returns the weight version that its companion last reported; empty if there is no report, or no engine. */
    public String weightVersion() {
        return applyReport == null ? "" : applyReport.weightVersion();
    }

    /** Returns why new work may not be sent there, for operators. */
    public String eligibility(long nowMicros) {
        if (settings.draining()) {
            return "drained by the document";
        }
        if (reportMicros == NEVER) {
            return "no report from its companion";
        }
        if (nowMicros - reportMicros >= FRESH_MICROS) {
            return "its companion's report is too old";
        }
        return applyReport.accepting() ? "eligible" : "its companion accepts no work";
    }

    /**
     * Returns the wait that a new attempt would see, in microseconds.
     *
     * @param serviceMicros how long an attempt usually occupies the target
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

    /** Returns the part of its slots that are taken, from 0; above 1 when attempts wait. */
    public double utilisation() {
        return (ownRequests + othersRequests) / settings.concurrency();
    }

    /** Returns the part of its slots that were taken by its companion's last report; above 1 when attempts wait. */
    public double reportedUtilisation() {
        return (double) reportedRequests() / settings.concurrency();
    }

    /** Returns the requests that its companion reported last. */
    public int reportedRequests() {
        return applyReport == null ? 0 : applyReport.running() + applyReport.queued();
    }

    /** Returns the time in microseconds to get this much context that it lacks, the cheaper way. */
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
