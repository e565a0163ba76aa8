package org.rattanrudder.core.orders;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Stream;
import org.rattanrudder.core.companion.CompanionEvent.OrderOutcome;
import org.rattanrudder.core.log.LogEntry;

/**
 * Brings one target to its desired state by orders, each under a lease and a claim read back from the log.
 *
 * <p>An order goes through these phases: wanted until lease and claim hold, asking what became of the last order,
 * ordering, loading until the target says that it is done. The lease's offset is the fencing number. Whether the target
 * checks it makes no difference here: the terms keep two holders apart, and the check is a second line against an order
 * that was on its way while its holder was frozen.
 *
 * <pre>{@code
 * orders.want(state);
 * orders.reported("v1", now);
 * orders.advance(now, actions);
 * }</pre>
 */
public final class TargetOrders {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int LARGEST_DOUBLING = 6;

    private final TargetKey target;
    private final OrderLedger.Claimant claimant;
    private final OrderLedger ledger;
    private final OrderTerms terms;
    private final HeldRecord lease;
    private final HeldRecord claim;

    private DesiredState desired;
    private Optional<String> reportedVersion = Optional.empty();
    private Phase phase = Phase.SETTLED;
    private DesiredState reached;
    private DesiredState ordered;
    private long orderedFencing;
    private long deviatesSinceMicros = Long.MAX_VALUE;
    private long notBeforeMicros = Long.MIN_VALUE;
    private long releasedOffset;
    private int refusals;
    private boolean foreignAllowed;

    private enum Phase {
        /** Nothing to do. */
        SETTLED,
        /** The target should change; lease and claim are awaited. */
        WANTED,
        /** The target is asked what became of the last order. */
        ASKING,
        /** An order is given and not answered. */
        ORDERING,
        /** The target loads. */
        LOADING
    }

    /**
     * Starts without a desired state.
     *
     * @param target the target
     * @param holder the incarnation of this companion
     * @param ledger what this companion reads in the orders stream
     * @param terms how long leases and claims last
     */
    public TargetOrders(TargetKey target, long holder, OrderLedger ledger, OrderTerms terms) {
        this.target = target;
        this.claimant = new OrderLedger.Claimant(target, holder);
        this.ledger = ledger;
        this.terms = terms;
        this.lease = new HeldRecord(terms.leaseMicros());
        this.claim = new HeldRecord(terms.loadMicros());
    }

    /** Sets what the target should hold. */
    public void want(DesiredState state) {
        if (!state.equals(desired)) {
            foreignAllowed = true;
        }
        desired = state;
    }

    /** Takes the weight version that the target reports as active. */
    public void reported(String version, long nowMicros) {
        reportedVersion = Optional.of(version);
        boolean deviates = desired != null && !version.equals(desired.version());
        deviatesSinceMicros = deviates ? Math.min(deviatesSinceMicros, nowMicros) : Long.MAX_VALUE;
    }

    /** Takes back one of this companion's own records. */
    public void readBack(LogEntry entry, long offset, long nowMicros) {
        if (entry instanceof LogEntry.OrderLease) {
            lease.readBack(entry, offset, nowMicros);
        } else if (entry instanceof LogEntry.LoadClaim) {
            claim.readBack(entry, offset, nowMicros);
        }
    }

    /** Trusts no lease any more, since this process was paused: others may have taken over meanwhile. */
    public void paused() {
        lease.drop();
    }

    /** Takes the answer to an order or to a question about the last one. */
    public void answered(long fencing, OrderOutcome outcome, long nowMicros, OrderActions actions) {
        switch (phase) {
            case ORDERING -> orderAnswered(fencing, outcome, nowMicros, actions);
            case ASKING, LOADING -> lastAnswered(fencing, outcome, nowMicros, actions);
            default -> {}
        }
    }

    /** Does what is due. */
    public void advance(long nowMicros, OrderActions actions) {
        if (desired == null || reportedVersion.isEmpty()) {
            return;
        }
        if (phase == Phase.SETTLED && shouldChange(nowMicros)) {
            phase = Phase.WANTED;
            lease.drop();
        } else if (phase == Phase.WANTED && isThere() && !hasPredecessor()) {
            reached = desired;
            phase = Phase.SETTLED;
        }
        if (phase == Phase.SETTLED) {
            giveBack(actions);
            return;
        }
        if (ledger.hasSuccessor(target, claimant.holder())) {
            // Failure: a companion that was frozen and its successor take claims and leases from each other for good:
            // neither gets to order. The one whose first record came earlier stands back until the other's have lapsed.
            phase = phase == Phase.ORDERING ? Phase.ORDERING : Phase.WANTED;
            return;
        }
        keepClaim(nowMicros, actions);
        if (nowMicros < notBeforeMicros) {
            return;
        }
        if (phase == Phase.WANTED) {
            prepare(nowMicros, actions);
        } else if (phase == Phase.LOADING) {
            ask(Phase.LOADING, nowMicros, actions);
        }
    }

    /** Returns whether the target is as desired, as far as is known here. */
    public boolean isSettled() {
        return phase == Phase.SETTLED;
    }

    /** Returns whether the target got there without us, as far as its report tells: it doesn't name adapters. */
    private boolean isThere() {
        boolean sameBeside = reached == null
                || reached.model().equals(desired.model()) && reached.adapters().isEmpty();
        return sameBeside && desired.adapters().isEmpty() && desired.version().equals(reportedVersion.get());
    }

    /** Returns whether an earlier companion of this target left a claim, perhaps with a load that still runs. */
    private boolean hasPredecessor() {
        return !ledger.othersClaims(claimant).isEmpty() && !ledger.hasSuccessor(target, claimant.holder());
    }

    private boolean shouldChange(long nowMicros) {
        if (hasPredecessor()) {
            return true;
        }
        if (reached == null) {
            // A companion that was replaced doesn't know which adapters are loaded: it orders the state once more.
            return !isThere();
        }
        boolean deviates = nowMicros - deviatesSinceMicros >= terms.settleMicros();
        return !reached.equals(desired) || deviatesSinceMicros != Long.MAX_VALUE && deviates;
    }

    private void prepare(long nowMicros, OrderActions actions) {
        if (!mayLoad(nowMicros) && !hasPredecessor()) {
            return;
        }
        // Two companions of one target, the older one thawed, would supersede each other's leases for good if each took
        // a new one while the other's still runs.
        if (lease.wantsRenewal(nowMicros) && ledger.isFree(target, claimant.holder())) {
            LogEntry entry = new LogEntry.OrderLease(
                    target.service(), target.target(), claimant.holder(), terms.leaseMicros() / MICROS_PER_MILLI);
            if (actions.append(entry)) {
                lease.sent(entry, nowMicros);
                note("order_lease_asked", actions);
            }
        }
        if (mayOrder(nowMicros)) {
            ask(Phase.ASKING, nowMicros, actions);
        }
    }

    /** Keeps the claim alive from the wish to the end of the load. Once lapsed it is made anew, behind others. */
    private void keepClaim(long nowMicros, OrderActions actions) {
        // A successor may have given back the claim of this companion when it seemed gone.
        boolean taken = claim.holds(nowMicros) && !claim.isOnItsWay() && !ledger.hasClaim(claimant);
        if (!taken && !claim.wantsRenewal(nowMicros)) {
            return;
        }
        if (!claim.holds(nowMicros) && claim.offset() != 0) {
            // Some readers may have counted it as lapsed and others not: given back first, it has one place for all.
            actions.append(release(claimant));
        }
        LogEntry entry = new LogEntry.LoadClaim(
                target.service(), target.target(), claimant.holder(), terms.loadMicros() / MICROS_PER_MILLI);
        if (actions.append(entry)) {
            claim.sent(entry, nowMicros);
        }
    }

    private void giveBack(OrderActions actions) {
        // Also a claim that was on its way when it was no longer needed: in the log it would hold up others.
        if (ledger.hasClaim(claimant) && !claim.isOnItsWay() && claim.offset() != releasedOffset) {
            if (actions.append(release(claimant))) {
                releasedOffset = claim.offset();
                claim.drop();
            }
        }
    }

    private LogEntry release(OrderLedger.Claimant claimed) {
        return new LogEntry.LoadRelease(target.service(), target.target(), claimed.holder());
    }

    /**
     * Failure: a holder that was frozen gives an order after another has taken over. It shows as a target that returns
     * to an older state. The holder's own term, counted from before it asked for the lease, ends before the term that
     * any later holder counts from reading it; and each waits until all leases of others before its own have lapsed.
     */
    private boolean mayOrder(long nowMicros) {
        return lease.holds(nowMicros) && ledger.isAlone(target) && !ledger.hasSuccessor(target, claimant.holder());
    }

    private boolean mayLoad(long nowMicros) {
        return claim.holds(nowMicros) && ledger.mayLoad(claimant);
    }

    private void ask(Phase next, long nowMicros, OrderActions actions) {
        phase = next;
        notBeforeMicros = nowMicros + terms.pollMicros();
        actions.askLast();
    }

    private void lastAnswered(long fencing, OrderOutcome outcome, long nowMicros, OrderActions actions) {
        if (outcome == OrderOutcome.LOST) {
            retry(phase == Phase.LOADING ? Phase.LOADING : Phase.WANTED, terms.pollMicros(), nowMicros);
            return;
        }
        if (outcome == OrderOutcome.STARTED) {
            phase = Phase.LOADING;
            return;
        }
        if (fencing == orderedFencing && ordered != null && outcome == OrderOutcome.DONE) {
            reach(actions);
            return;
        }
        if (fencing > lease.offset()) {
            superseded(fencing, nowMicros, actions);
            return;
        }
        if (isForeign(fencing) && !foreignAllowed) {
            foreign(fencing, nowMicros, actions);
            return;
        }
        if (mayOrder(nowMicros)) {
            // The companion before us can't order any more and its load isn't running: its claim holds up others.
            ledger.othersClaims(claimant).forEach(each -> releasePredecessor(each, actions));
        }
        if (isThere()) {
            retry(Phase.WANTED, terms.pollMicros(), nowMicros);
            return;
        }
        if (mayOrder(nowMicros) && mayLoad(nowMicros)) {
            ordered = desired;
            foreignAllowed = false;
            orderedFencing = lease.offset();
            phase = Phase.ORDERING;
            actions.give(orderedFencing, ordered);
            note("order_given", actions, "version", ordered.version(), "fencing", Long.toString(orderedFencing));
            return;
        }
        retry(Phase.WANTED, terms.pollMicros(), nowMicros);
    }

    private void releasePredecessor(OrderLedger.Claimant predecessor, OrderActions actions) {
        if (actions.append(release(predecessor))) {
            note("order_claim_of_predecessor_released", actions, "holder", Long.toHexString(predecessor.holder()));
        }
    }

    private void orderAnswered(long fencing, OrderOutcome outcome, long nowMicros, OrderActions actions) {
        if (fencing != orderedFencing) {
            return;
        }
        switch (outcome) {
            case DONE -> reach(actions);
            case STARTED -> retry(Phase.LOADING, terms.pollMicros(), nowMicros);
            // It may have taken effect: the target is asked before anything else.
            case LOST -> retry(Phase.WANTED, terms.pollMicros(), nowMicros);
            case FENCED -> superseded(fencing, nowMicros, actions);
            default -> refused(nowMicros, actions);
        }
    }

    private void reach(OrderActions actions) {
        note("order_done", actions, "version", ordered.version(), "fencing", Long.toString(orderedFencing));
        reached = ordered;
        ordered = null;
        refusals = 0;
        deviatesSinceMicros = Long.MAX_VALUE;
        phase = Phase.SETTLED;
    }

    /** Another lease has been used at the target: a new one is needed, behind it in the log. */
    private void superseded(long fencing, long nowMicros, OrderActions actions) {
        lease.drop();
        boolean ours = ledger.lease(target)
                .filter(each -> each.holder() == claimant.holder())
                .isPresent();
        if (ours) {
            foreign(fencing, nowMicros, actions);
        } else {
            retry(Phase.WANTED, terms.pollMicros(), nowMicros);
        }
    }

    /** Returns whether the number of the target's last order is newer than ours and belongs to no lease of it. */
    private boolean isForeign(long fencing) {
        return orderedFencing != 0 && fencing > orderedFencing && !ledger.isLeaseOf(target, fencing);
    }

    /**
     * Failure: documents name one target twice, under two names or with two companions. It shows as a target that loads
     * one version after the other, all day, since each companion undoes the other's order. The number of the last order
     * is no lease of this target, so this companion stops, tells operators, and orders again after a new document.
     */
    private void foreign(long fencing, long nowMicros, OrderActions actions) {
        note("foreign_order", actions, "fencing", Long.toString(fencing));
        backOff(nowMicros);
    }

    private void refused(long nowMicros, OrderActions actions) {
        note("order_refused", actions, "version", ordered.version());
        ordered = null;
        backOff(nowMicros);
    }

    private void backOff(long nowMicros) {
        long wait = terms.backoffMicros() << Math.min(refusals, LARGEST_DOUBLING);
        refusals++;
        retry(Phase.WANTED, wait, nowMicros);
    }

    private void retry(Phase next, long waitMicros, long nowMicros) {
        phase = next;
        notBeforeMicros = nowMicros + waitMicros;
    }

    private void note(String event, OrderActions actions, String... fields) {
        actions.note(
                event,
                Stream.concat(Stream.of("target", target.target().value()), Arrays.stream(fields))
                        .toArray(String[]::new));
    }
}
