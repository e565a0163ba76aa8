package org.rattanrudder.core.topics;

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

    /** Returns for how long records may exist that were not read. */
    public long ageMillis(long now) {
        return Math.max(0, now - provenAt);
    }
}
