package org.rattanrudder.core.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** The shared records of causes, as far as one relay knows them, and which of them it has to withdraw. */
final class CauseRecords {
    private final Set<Cause> recorded = new HashSet<>();
    private final Set<Cause> own = new HashSet<>();
    private final Set<Cause> toWithdraw = new HashSet<>();

    /** Creates the state of a relay that has read no record. */
    CauseRecords() {}

    /** Handles a record that any relay has written. */
    void onRecorded(Cause cause) {
        recorded.add(cause);
    }

    /** Handles that this relay has written a record. */
    void onWritten(Cause cause) {
        recorded.add(cause);
        own.add(cause);
    }

    /** Handles that a record was withdrawn, by whichever relay. */
    void onWithdrawn(Cause cause) {
        recorded.remove(cause);
        own.remove(cause);
        toWithdraw.remove(cause);
    }

    /** Handles a listing of all records; those that aren't in it were lost. */
    void onListed(Set<Cause> listed) {
        recorded.retainAll(listed);
    }

    /** Returns whether a record of the cause is known. */
    boolean isRecorded(Cause cause) {
        return recorded.contains(cause);
    }

    /** Has a record withdrawn. */
    void withdraw(Cause cause) {
        toWithdraw.add(cause);
    }

    /** Has the known records withdrawn that meet a condition. */
    void withdrawIf(Predicate<Cause> condition) {
        recorded.stream().filter(condition).forEach(toWithdraw::add);
    }

    /** Has the records withdrawn that this relay has written and that meet a condition. */
    void withdrawOwnIf(Predicate<Cause> condition) {
        own.stream().filter(condition).forEach(toWithdraw::add);
    }

    /** Returns whether the record of a cause is to be withdrawn. */
    boolean isToWithdraw(Cause cause) {
        return toWithdraw.contains(cause);
    }

    /** Returns the causes whose record this relay has to withdraw. */
    List<Cause> toWithdraw() {
        return List.copyOf(toWithdraw);
    }
}
