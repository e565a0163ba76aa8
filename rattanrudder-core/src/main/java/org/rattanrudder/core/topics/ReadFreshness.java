package org.rattanrudder.core.topics;

import org.rattanrudder.core.time.Moment;

/**
 * The time up to which all records of a topic are known to have been read.
 *
 * <p>A record that is written later may be unread. All times are in ms, on the clock of the reader.
 */
public final class ReadFreshness {
    private long provenAt;

    /** Creates the freshness of a topic that was never read; its age counts from {@code now}. */
    public ReadFreshness(long now) {
        provenAt = now;
    }

    /**
     * Records a read after which no record that existed when it was asked for is left unread.
     *
     * @param askedAt when the read was asked for
     */
    public void onReadToEnd(long askedAt) {
        provenAt = Math.max(provenAt, askedAt);
    }

    /**
     * Records a long poll that brought no record. The store has answered it only when its wait was over, so that there
     * was none up to then.
     *
     * @param askedAt when the poll was asked for
     * @param waitMillis how long the store was to wait for a record
     * @param now when the answer has arrived; one that may have come before the wait is over proves only what existed
     *     when it was asked for
     */
    public void onEmptyPoll(Moment askedAt, long waitMillis, Moment now) {
        boolean waitIsOver = now.atLeastMillis() >= askedAt.atLeastMillis() + waitMillis;
        onReadToEnd(waitIsOver ? askedAt.atMostMillis() + waitMillis : askedAt.atMostMillis());
    }

    /** Returns for how long records may exist that were not read. */
    public long ageMillis(long now) {
        return Math.max(0, now - provenAt);
    }
}
