package org.rattanrudder.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;

/**
 * The lease of the process that sends orders to engines, kept as a log of its own.
 *
 * <p>A record is appended only at the end of the log that its writer has read, so that only one of two concurrent
 * writers succeeds. The holder may send orders to the engines that the record names, for the term that it names, from
 * when it sent the append. Processes of other instances wait for the term, counted from when they read the record. The
 * engines that it names they order only after the handover time in addition, since each engine must get the orders of
 * two holders that far apart; engines that it doesn't name can't have got an order of that holder. A process that
 * succeeds one of its own instance goes on at once. A machine may be suspended: the holder counts the longest time that
 * may have passed, the others count the shortest.
 *
 * <p>An append uses up the term. So the term is longer while appends are slow: otherwise it would be over whenever one
 * is answered, and nobody could send orders. It is the usual one while another instance is known whose newest record
 * names no term: its release waits for the usual term only.
 *
 * <p>The log may come back from an older copy, which lacks the newest records. That ends the lease of whoever held it,
 * and everybody waits as for a holder whose record wasn't read. A process that starts knows of a return by the newest
 * record: it was written in another era.
 */
public final class OrderLease {
    /** The usual term: each renewal costs a write, and a crashed holder delays a rollout by this time. */
    public static final long LEASE_MILLIS = 1_200;

    /** The longest term, which leaves the time of a usual one for orders if the store takes two seconds to append. */
    static final long MAX_LEASE_MILLIS = 3_200;

    /** Appends that take longer than this use up so much of the usual term that it is extended. */
    private static final long USUAL_APPEND_MILLIS = 300;

    /** The holder renews when this much time is left: an append takes some ms, or hundreds when the log is slow. */
    public static final long RENEW_BEFORE_EXPIRY_MILLIS = 600;

    /** Margin for clock drift and read delays when waiting for a lease to expire. */
    private static final long CLOCK_MARGIN_MILLIS = 300;

    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    /** A log that has never come back is in era 0 or 1, so that a log without records there has lost none. */
    private static final long MAX_INITIAL_ERA = 1;

    /** Stands for a process of which no record was read. */
    private static final String UNREAD_HOLDER = "unread";

    private final String instance;
    private final String self;
    private final long handoverMillis;

    /** Instances whose newest record names no term. */
    private final Set<String> instancesWithoutTerms = new HashSet<>();

    private LogPosition end = LogPosition.START;
    private boolean endKnown;
    private boolean caughtUp;
    private String lastHolder = "";
    private long othersTermUntil = LONG_AGO;

    /** Until when another holder may have ordered an engine too lately for an order of this process, by engine. */
    private final Map<String, Long> othersOrdersUntil = new HashMap<>();

    /** Until when this process may order an engine, by engine. */
    private final Map<String, Long> ownOrdersUntil = new HashMap<>();

    /** Until when another holder whose record wasn't read may have ordered any engine too lately. */
    private long othersUnreadOrdersUntil = LONG_AGO;

    private LogPosition next = LogPosition.START;
    private boolean recordsMissed;
    private boolean recordRead;
    private boolean newestIsOfThisEra;
    private long termMillis = LEASE_MILLIS;
    private boolean lastUnanswered;
    private LogPosition ownRecord = LogPosition.NONE;
    private long heldUntil = LONG_AGO;

    /**
     * Creates the state of a process that doesn't hold the lease.
     *
     * @param instance the name of its instance and its address, which one process at a time can have
     * @param self its own name: the same, a hyphen and what no other process of it is called
     * @param handoverMillis the minimum time between the orders of two holders to one engine
     */
    public OrderLease(String instance, String self, long handoverMillis) {
        this.instance = instance;
        this.self = self;
        this.handoverMillis = handoverMillis;
    }

    /** Records that all records before a position were read. */
    public void advanceTo(LogPosition newEnd) {
        end = LogPosition.latest(end, newEnd);
        endKnown = true;
    }

    /** Records that all records were read that existed when this process started. */
    public void onCaughtUp(Moment now) {
        if (!caughtUp && mayLackRecords()) {
            awaitUnreadHolder(now);
        }
        caughtUp = true;
        recordsMissed = false;
    }

    /** Returns whether the log may have come back without records of holders since the newest that was read. */
    private boolean mayLackRecords() {
        return recordRead ? !newestIsOfThisEra : end.era() > MAX_INITIAL_ERA;
    }

    /** Handles that the log has come back from an older copy, of which nothing was read. */
    public void onLogReturned(long era, Moment now) {
        end = LogPosition.startOf(era);
        next = end;
        endKnown = false;
        caughtUp = true;
        heldUntil = LONG_AGO;
        ownOrdersUntil.clear();
        awaitUnreadHolder(now);
    }

    /** Waits until another holder whose record isn't in the log has ended, and its orders are long enough ago. */
    private void awaitUnreadHolder(Moment now) {
        lastHolder = UNREAD_HOLDER;
        othersTermUntil = Math.max(othersTermUntil, now.atLeastMillis() + MAX_LEASE_MILLIS + CLOCK_MARGIN_MILLIS);
        othersUnreadOrdersUntil = Math.max(othersUnreadOrdersUntil, othersTermUntil + handoverMillis);
    }

    /** Handles a record that was read. */
    public void onRecord(LogPosition position, LeaseRecord record, Moment now) {
        advanceTo(position.plus(1));
        recordsMissed |= isBehindUnread(position);
        next = LogPosition.latest(next, position.plus(1));
        recordRead = true;
        newestIsOfThisEra = record.era() == position.era();
        if (record.holder().equals(self)) {
            return;
        }
        noteTermOf(record);
        if (!isEarlierProcess(record.holder())) {
            noteOtherHolder(record, now);
        } else if (!caughtUp) {
            // It had waited for those before it and sends no orders any more. No such process writes later.
            lastHolder = "";
            othersTermUntil = LONG_AGO;
            record.loading().forEach(othersOrdersUntil::remove);
        }
        if (position.isAfter(ownRecord)) {
            heldUntil = LONG_AGO;
        }
    }

    /** Records of an era are read from its first one on, whatever was read of the era before. */
    private boolean isBehindUnread(LogPosition position) {
        long expected = next.era() == position.era() ? next.offset() : 0;
        return position.offset() > expected;
    }

    private void noteOtherHolder(LeaseRecord record, Moment now) {
        long termUntil = now.atLeastMillis() + Math.min(record.termMillis(), MAX_LEASE_MILLIS) + CLOCK_MARGIN_MILLIS;
        lastHolder = record.holder();
        othersTermUntil = Math.max(othersTermUntil, termUntil);
        othersOrdersUntil.values().removeIf(until -> now.atLeastMillis() > until);
        long ordersUntil = termUntil + handoverMillis;
        record.loading().forEach(engine -> othersOrdersUntil.merge(engine, ordersUntil, Math::max));
        if (recordsMissed) {
            // One that the store has discarded may have named any engine.
            othersUnreadOrdersUntil = Math.max(othersUnreadOrdersUntil, ordersUntil);
        }
    }

    private void noteTermOf(LeaseRecord record) {
        if (record.namedTermMillis().isEmpty() && !isEarlierProcess(record.holder())) {
            instancesWithoutTerms.add(instanceOf(record.holder()));
        } else {
            instancesWithoutTerms.remove(instanceOf(record.holder()));
        }
    }

    private boolean isEarlierProcess(String holder) {
        return instanceOf(holder).equals(instance) && !holder.equals(instance);
    }

    private static String instanceOf(String holder) {
        int hyphen = holder.lastIndexOf('-');
        return hyphen < 0 ? holder : holder.substring(0, hyphen);
    }

    /** Returns whether to append a record, to acquire or renew the lease. */
    public boolean shouldAppend(Moment now) {
        if (!endKnown) {
            return false;
        }
        if (isHeld(now)) {
            return heldUntil - now.atMostMillis() < RENEW_BEFORE_EXPIRY_MILLIS;
        }
        return lastHolder.isEmpty() || now.atLeastMillis() > othersTermUntil;
    }

    /** Returns whether this process has written the last record that is known. */
    public boolean isLastWriter() {
        return endKnown && end.equals(ownRecord.plus(1)) && !ownRecord.equals(LogPosition.NONE);
    }

    /** Returns the position at which the next append must be written to be valid. */
    public LogPosition appendPosition() {
        return end;
    }

    /** Returns the term that the next record names, in ms. */
    public long termMillis() {
        return instancesWithoutTerms.isEmpty() ? termMillis : LEASE_MILLIS;
    }

    /**
     * Handles a successful append of this process. One that was sent in an earlier era takes no lease: a holder whose
     * record is lost may go on.
     *
     * @param record what was appended
     * @param sentAt when it was sent
     * @return whether this process has got the lease
     */
    public boolean onAppended(LogPosition position, LeaseRecord record, Moment sentAt, Moment now) {
        if (position.era() != record.era()) {
            onConflict();
            return false;
        }
        advanceTo(position.plus(1));
        ownRecord = position;
        lastUnanswered = false;
        heldUntil = sentAt.atMostMillis() + record.termMillis();
        ownOrdersUntil.values().removeIf(until -> now.atMostMillis() >= until);
        record.loading().forEach(engine -> ownOrdersUntil.put(engine, heldUntil));
        long taken = now.atMostMillis() - sentAt.atMostMillis();
        long needed = taken <= USUAL_APPEND_MILLIS ? LEASE_MILLIS : Math.min(MAX_LEASE_MILLIS, LEASE_MILLIS + taken);
        // One append that was fast doesn't show that the next one will be.
        termMillis = Math.max(needed, (termMillis + LEASE_MILLIS) / 2);
        return true;
    }

    /** Handles a failed append: another process has written a record at the expected position. */
    public void onConflict() {
        endKnown = false;
        heldUntil = LONG_AGO;
    }

    /** Handles an append without an answer, which may have been carried out; a second one shows a slow store. */
    public void onUnanswered() {
        onConflict();
        if (lastUnanswered) {
            termMillis = Math.min(MAX_LEASE_MILLIS, 2 * termMillis);
        }
        lastUnanswered = true;
    }

    /** Returns whether this process holds the lease now. */
    public boolean isHeld(Moment now) {
        return now.atMostMillis() < heldUntil;
    }

    /** Returns whether this process may send an order to an engine now: its own record names the engine. */
    public boolean mayOrder(String engine, Moment now) {
        return isHeld(now) && now.atMostMillis() < ownOrdersUntil.getOrDefault(engine, LONG_AGO);
    }

    /** Returns whether a record of this process may name an engine, as no other holder may have ordered it lately. */
    public boolean mayName(String engine, Moment now) {
        return now.atLeastMillis()
                > Math.max(othersUnreadOrdersUntil, othersOrdersUntil.getOrDefault(engine, LONG_AGO));
    }

    /** Returns the other process whose record was read last; empty if none was. */
    public String lastOtherHolder() {
        return lastHolder;
    }

    /** Returns the fencing token of the lease that was held last; -1 if none was. */
    public long fencingToken() {
        return ownRecord.equals(LogPosition.NONE) ? -1 : LeaseTokens.of(ownRecord);
    }
}
