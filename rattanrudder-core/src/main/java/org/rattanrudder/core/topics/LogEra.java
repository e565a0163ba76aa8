package org.rattanrudder.core.topics;

import java.util.OptionalLong;

/**
 * The era of the platform's log, by what its answers name.
 *
 * <p>An answer that names none is taken as one of the era that is known.
 */
public final class LogEra {
    /** Time in which what operators and targets wrote is written again after the log has come back from a copy. */
    public static final long REWRITE_MILLIS = 2_500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long current;
    private boolean answered;
    private long returnedAt = NEVER;

    /** Of which era an answer is, compared with the newest one that was named before. */
    public enum Answer {
        /** Of the same era: what was read before holds. */
        CURRENT,
        /** Of a later era: the log has come back from a copy. */
        NEWER,
        /** Of an earlier era: it says nothing of the log that is there now. */
        OLDER
    }

    /** Creates the era of a log that has answered nothing. */
    public LogEra() {}

    /**
     * Handles an answer of the log.
     *
     * @param named the era that it names
     * @param nowMillis the time, of which more may have passed
     */
    public Answer observe(OptionalLong named, long nowMillis) {
        boolean first = !answered;
        answered = true;
        long era = named.orElse(current);
        if (era < current) {
            return Answer.OLDER;
        }
        boolean newer = era > current && !first;
        current = era;
        returnedAt = newer ? nowMillis : returnedAt;
        return newer ? Answer.NEWER : Answer.CURRENT;
    }

    /**
     * Returns whether a read can show that nothing is unread: not before what was lost has been written again, nor by
     * an answer that may be of another era.
     *
     * @param named the era that its answer names
     * @param askedAtMillis when it was asked for, by the same clock as the answers
     */
    public boolean isProof(OptionalLong named, long askedAtMillis) {
        return (named.isPresent() || current == 0) && askedAtMillis - returnedAt >= REWRITE_MILLIS;
    }

    /** Returns the newest era that was named, from 0. */
    public long current() {
        return current;
    }
}
