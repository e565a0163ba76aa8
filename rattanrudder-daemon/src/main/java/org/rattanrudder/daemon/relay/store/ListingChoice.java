package org.rattanrudder.daemon.relay.store;

import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.core.topics.RepeatPolicy;

/**
 * Decides whether a topic is read on by a listing of the newest record of each key, in place of a poll.
 *
 * <p>A poll carries all versions of a record that were written since the last read, though only the newest counts. On a
 * slow link it takes the longer the more of them there are, and more are written meanwhile.
 */
final class ListingChoice {
    /** A listing carries one version of a record; a poll of so many carries no more. */
    private static final int MAX_POLLED_RECORDS = 1;

    private boolean slow;
    private boolean unfinished;
    private boolean barred;
    private LogPosition peersRead = LogPosition.NONE;

    /** Returns whether a topic that was read up to a position is read on by a listing. */
    boolean isListedAt(LogPosition next) {
        return !barred && (unfinished || slow && peersRead.isAfter(next.plus(MAX_POLLED_RECORDS)));
    }

    /**
     * Returns the length from which on an answer to a poll is given up for a listing.
     *
     * @param listedBytes length of the last complete listing; 0 if it isn't known
     */
    long maxPolledBytes(long listedBytes) {
        return slow && !barred && listedBytes > 0 ? listedBytes : Long.MAX_VALUE;
    }

    /** Handles up to where a peer has read. */
    void onPeerPosition(LogPosition position) {
        if (position.isAfter(peersRead)) {
            peersRead = position;
        }
    }

    /** Records that a poll was given up while its answer was arriving. */
    void onPollUnfinished() {
        unfinished = true;
        slow = true;
    }

    /** Records that a listing begins. */
    void onListing() {
        unfinished = false;
        peersRead = LogPosition.NONE;
    }

    /**
     * Records that an answer held records.
     *
     * @param takenMillis time from the call to its answer, in ms
     */
    void onRecordsRead(long takenMillis) {
        slow = takenMillis > RepeatPolicy.LATE_ANSWER_MILLIS;
    }

    /** Records that the next read has to be a poll, since older versions of a record count. */
    void barListing() {
        barred = true;
    }

    /** Records that a poll was answered. */
    void onPolled() {
        barred = false;
    }
}
