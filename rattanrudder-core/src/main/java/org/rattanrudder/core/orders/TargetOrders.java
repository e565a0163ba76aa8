package org.rattanrudder.core.orders;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Stream;
import org.rattanrudder.core.companion.CompanionEvent.OrderOutcome;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.time.EventTime;

/**
 * Brings one target to its desired state. Each order requires a lease and a load claim that were read back from the
 * log.
 *
 * <p>An order goes through these phases: lease and claim are acquired, the state of the last order is queried, the
 * order is sent, and the target loads until it reports completion. The lease's log offset is the fencing number. Safety
 * doesn't depend on the target checking it, since the terms already keep two holders apart. The check is a second
 * safeguard against an order that was in flight while its holder was paused.
 *
 * <pre>{@code
 * orders.setDesired(state);
 * orders.onVersionReported("v1", now);
 * orders.advance(now, actions);
 * }</pre>
 */
public final class TargetOrders {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final TargetKey target;
    private final OrderLedger.Claimant claimant;
    private final OrderLedger ledger;
    private final OrderSettings settings;
    private final LogBackedLease lease;
    private final LogBackedLease claim;

    private DesiredState desired;
    private Optional<String> reportedVersion = Optional.empty();
    private Phase phase = Phase.SETTLED;
    private DesiredState confirmed;
    private DesiredState ordered;
    private long orderedFencing;
    private long deviatingSinceMicros = Long.MAX_VALUE;
    private long notBeforeMicros = Long.MIN_VALUE;
    private long releasedOffset;
    private int refusals;
    private boolean mayOverrideForeign;

    private enum Phase {
        /** Nothing to do. */
        SETTLED,
        /** The target should change; lease and claim are being acquired. */
        ACQUIRING,
        /** The state of the last order is being queried. */
        QUERYING,
        /** An order has been sent and not been answered. */
        ORDERING,
        /** The target is loading. */
        LOADING
    }

    /**
     * Creates the orders of one target, without a desired state.
     *
     * @param target the target
     * @param holder the incarnation of this companion
     * @param ledger the leases and claims that this companion has read
     * @param settings terms and intervals
     */
    public TargetOrders(TargetKey target, long holder, OrderLedger ledger, OrderSettings settings) {
        this.target = target;
        this.claimant = new OrderLedger.Claimant(target, holder);
        this.ledger = ledger;
        this.settings = settings;
        this.lease = new LogBackedLease(settings.leaseTermMicros());
        this.claim = new LogBackedLease(settings.loadTermMicros());
    }

    /** Sets the desired state of the target. */
    public void setDesired(DesiredState state) {
        if (!state.equals(desired)) {
            mayOverrideForeign = true;
        }
        desired = state;
    }

    /** Handles a report of the active weight version. */
    public void onVersionReported(String version, long nowMicros) {
        reportedVersion = Optional.of(version);
        boolean deviates = desired != null && !version.equals(desired.version());
        deviatingSinceMicros = deviates ? Math.min(deviatingSinceMicros, nowMicros) : Long.MAX_VALUE;
    }

    /** Handles a record of this companion that was read back from the log. */
    public void onReadBack(LogEntry entry, long offset, EventTime now) {
        if (entry instanceof LogEntry.OrderLease) {
            lease.onReadBack(entry, offset, now.atMostMicros());
        } else if (entry instanceof LogEntry.LoadClaim) {
            claim.onReadBack(entry, offset, now.atMostMicros());
        }
    }

    /** Drops the lease after a pause of this process, since another companion may have taken over. */
    public void onPause() {
        lease.drop();
    }

    /** Handles the answer to an order or to a query of the last order. */
    public void onAnswer(long fencing, OrderOutcome outcome, EventTime now, OrderActions actions) {
        switch (phase) {
            case ORDERING -> onOrderAnswer(fencing, outcome, now, actions);
            case QUERYING, LOADING -> onLastOrderAnswer(fencing, outcome, now, actions);
            default -> {}
        }
    }

    /** Takes the next step if one is due. Called after each event. */
    public void advance(EventTime now, OrderActions actions) {
        if (desired == null || reportedVersion.isEmpty()) {
            return;
        }
        if (phase == Phase.SETTLED && needsOrder(now.atLeastMicros())) {
            phase = Phase.ACQUIRING;
            lease.drop();
        } else if (phase == Phase.ACQUIRING && reportsDesired() && !hasPredecessorClaim()) {
            confirmed = desired;
            phase = Phase.SETTLED;
        }
        if (phase == Phase.SETTLED) {
            releaseClaim(actions);
            return;
        }
        if (ledger.hasSuccessor(target, claimant.holder())) {
            // A companion that was paused and its successor would otherwise take claims and leases from each other
            // forever, and neither could send an order. The one whose first record is earlier yields until those of the
            // other have expired.
            phase = phase == Phase.ORDERING ? Phase.ORDERING : Phase.ACQUIRING;
            return;
        }
        maintainClaim(now, actions);
        if (now.atLeastMicros() < notBeforeMicros) {
            return;
        }
        if (phase == Phase.ACQUIRING) {
            acquire(now, actions);
        } else if (phase == Phase.LOADING) {
            queryLastOrder(Phase.LOADING, now, actions);
        }
    }

    /** Returns whether the target has reached its desired state, as far as known. */
    public boolean isSettled() {
        return phase == Phase.SETTLED;
    }

    /**
     * Returns whether the target reports the desired state without an order of ours. Reports don't name adapters, so
     * this is only known if none are involved.
     */
    private boolean reportsDesired() {
        boolean sameExceptVersion = confirmed == null
                || confirmed.model().equals(desired.model())
                        && confirmed.adapters().isEmpty();
        return sameExceptVersion
                && desired.adapters().isEmpty()
                && desired.version().equals(reportedVersion.get());
    }

    /** Returns whether an earlier companion of this target left a claim, whose load may still be running. */
    private boolean hasPredecessorClaim() {
        return !ledger.claimsOfOthers(claimant).isEmpty() && !ledger.hasSuccessor(target, claimant.holder());
    }

    private boolean needsOrder(long nowMicros) {
        if (hasPredecessorClaim()) {
            return true;
        }
        if (confirmed == null) {
            // A companion that has just started doesn't know which adapters are loaded, and sends the order once more.
            return !reportsDesired();
        }
        boolean deviates = nowMicros - deviatingSinceMicros >= settings.deviationGraceMicros();
        return !confirmed.equals(desired) || deviatingSinceMicros != Long.MAX_VALUE && deviates;
    }

    private void acquire(EventTime now, OrderActions actions) {
        if (!mayLoad(now) && !hasPredecessorClaim()) {
            return;
        }
        // If each took a new lease while the other's is unexpired, two companions of one target, of which the older one
        // has resumed after a pause, would supersede each other's leases forever.
        if (lease.needsRenewal(now.atMostMicros()) && ledger.isFreeFor(target, claimant.holder())) {
            LogEntry entry = new LogEntry.OrderLease(
                    target.service(),
                    target.target(),
                    claimant.holder(),
                    settings.leaseTermMicros() / MICROS_PER_MILLI);
            if (actions.append(entry)) {
                lease.onSent(entry, now.atMostMicros());
                logEvent("order_lease_asked", actions);
            }
        }
        if (mayOrder(now)) {
            queryLastOrder(Phase.QUERYING, now, actions);
        }
    }

    /**
     * Renews the claim from the time at which an order is needed to the end of the load. An expired claim is appended
     * again, behind the claims of others.
     */
    private void maintainClaim(EventTime now, OrderActions actions) {
        // A successor may have released the claim of this companion when it seemed dead.
        boolean releasedByOther = claim.isHeld(now.atMostMicros()) && !claim.isPending() && !ledger.hasClaim(claimant);
        if (!releasedByOther && !claim.needsRenewal(now.atMostMicros())) {
            return;
        }
        if (!claim.isHeld(now.atMostMicros()) && claim.offset() != 0) {
            // Some readers may have seen it expire and others not. Releasing it first gives it one position for all.
            actions.append(releaseEntry(claimant));
        }
        LogEntry entry = new LogEntry.LoadClaim(
                target.service(), target.target(), claimant.holder(), settings.loadTermMicros() / MICROS_PER_MILLI);
        if (actions.append(entry)) {
            claim.onSent(entry, now.atMostMicros());
        }
    }

    private void releaseClaim(OrderActions actions) {
        // This includes a claim that was pending when it was no longer needed: in the log it would block others.
        if (ledger.hasClaim(claimant) && !claim.isPending() && claim.offset() != releasedOffset) {
            if (actions.append(releaseEntry(claimant))) {
                releasedOffset = claim.offset();
                claim.drop();
            }
        }
    }

    private LogEntry releaseEntry(OrderLedger.Claimant claimed) {
        return new LogEntry.LoadRelease(target.service(), target.target(), claimed.holder());
    }

    /**
     * Returns whether this companion may send an order now.
     *
     * <p>This guards against a holder that was paused and sends an order after another has taken over, so that the
     * target returns to an older state. The holder's own term counts from the time before it requested the lease, and
     * ends before the term that any later holder counts from reading it. Each holder also waits until all earlier
     * leases of others have expired.
     */
    private boolean mayOrder(EventTime now) {
        return lease.isHeld(now.atMostMicros())
                && ledger.haveOthersExpired(target)
                && !ledger.hasSuccessor(target, claimant.holder());
    }

    private boolean mayLoad(EventTime now) {
        return claim.isHeld(now.atMostMicros()) && ledger.mayLoad(claimant);
    }

    private void queryLastOrder(Phase next, EventTime now, OrderActions actions) {
        phase = next;
        notBeforeMicros = now.atLeastMicros() + settings.pollIntervalMicros();
        actions.queryLastOrder();
    }

    private void onLastOrderAnswer(long fencing, OrderOutcome outcome, EventTime now, OrderActions actions) {
        if (outcome == OrderOutcome.LOST) {
            retry(phase == Phase.LOADING ? Phase.LOADING : Phase.ACQUIRING, settings.pollIntervalMicros(), now);
            return;
        }
        if (outcome == OrderOutcome.STARTED) {
            phase = Phase.LOADING;
            return;
        }
        if (fencing == orderedFencing && ordered != null && outcome == OrderOutcome.DONE) {
            onDone(actions);
            return;
        }
        if (fencing > lease.offset()) {
            onSuperseded(fencing, now, actions);
            return;
        }
        if (isForeign(fencing) && !mayOverrideForeign) {
            onForeignOrder(fencing, now, actions);
            return;
        }
        if (mayOrder(now)) {
            // The predecessor can't send orders any more and its load isn't running: its claim only blocks others.
            ledger.claimsOfOthers(claimant).forEach(each -> releasePredecessor(each, actions));
        }
        if (reportsDesired()) {
            retry(Phase.ACQUIRING, settings.pollIntervalMicros(), now);
            return;
        }
        if (mayOrder(now) && mayLoad(now)) {
            ordered = desired;
            mayOverrideForeign = false;
            orderedFencing = lease.offset();
            phase = Phase.ORDERING;
            actions.sendOrder(orderedFencing, ordered);
            logEvent("order_given", actions, "version", ordered.version(), "fencing", Long.toString(orderedFencing));
            return;
        }
        retry(Phase.ACQUIRING, settings.pollIntervalMicros(), now);
    }

    private void releasePredecessor(OrderLedger.Claimant predecessor, OrderActions actions) {
        if (actions.append(releaseEntry(predecessor))) {
            logEvent("order_claim_of_predecessor_released", actions, "holder", Long.toHexString(predecessor.holder()));
        }
    }

    private void onOrderAnswer(long fencing, OrderOutcome outcome, EventTime now, OrderActions actions) {
        if (fencing != orderedFencing) {
            return;
        }
        switch (outcome) {
            case DONE -> onDone(actions);
            case STARTED -> retry(Phase.LOADING, settings.pollIntervalMicros(), now);
            // The order may have taken effect, so the target is queried first.
            case LOST -> retry(Phase.ACQUIRING, settings.pollIntervalMicros(), now);
            case FENCED -> onSuperseded(fencing, now, actions);
            default -> onRefused(now, actions);
        }
    }

    private void onDone(OrderActions actions) {
        logEvent("order_done", actions, "version", ordered.version(), "fencing", Long.toString(orderedFencing));
        confirmed = ordered;
        ordered = null;
        refusals = 0;
        deviatingSinceMicros = Long.MAX_VALUE;
        phase = Phase.SETTLED;
    }

    /** Handles an order of a newer lease at the target: a new lease is needed, at a later log offset. */
    private void onSuperseded(long fencing, EventTime now, OrderActions actions) {
        lease.drop();
        boolean leaseIsOurs = ledger.lease(target)
                .filter(each -> each.holder() == claimant.holder())
                .isPresent();
        if (leaseIsOurs) {
            onForeignOrder(fencing, now, actions);
        } else {
            retry(Phase.ACQUIRING, settings.pollIntervalMicros(), now);
        }
    }

    /**
     * Returns whether the fencing number of the target's last order is newer than ours and belongs to no lease of the
     * target.
     */
    private boolean isForeign(long fencing) {
        return orderedFencing != 0 && fencing > orderedFencing && !ledger.isRecentLeaseOffset(target, fencing);
    }

    /**
     * Handles an order that was sent under another name of the target.
     *
     * <p>If documents list one target twice, under two names or with two companions, each companion overrides the
     * other's order and the target keeps loading one version after the other. The fencing number of the last order then
     * belongs to no lease of this target. So this companion backs off, logs an event for operators, and sends an order
     * again only after a new document.
     */
    private void onForeignOrder(long fencing, EventTime now, OrderActions actions) {
        logEvent("foreign_order", actions, "fencing", Long.toString(fencing));
        backOff(now);
    }

    private void onRefused(EventTime now, OrderActions actions) {
        logEvent("order_refused", actions, "version", ordered.version());
        ordered = null;
        backOff(now);
    }

    private void backOff(EventTime now) {
        long wait = settings.baseBackoffMicros() << Math.min(refusals, MAX_BACKOFF_DOUBLINGS);
        refusals++;
        retry(Phase.ACQUIRING, wait, now);
    }

    private void retry(Phase next, long waitMicros, EventTime now) {
        phase = next;
        notBeforeMicros = now.atLeastMicros() + waitMicros;
    }

    private void logEvent(String event, OrderActions actions, String... fields) {
        actions.logEvent(
                event,
                Stream.concat(Stream.of("target", target.target().value()), Arrays.stream(fields))
                        .toArray(String[]::new));
    }
}
