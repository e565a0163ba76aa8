package org.rattanrudder.core.topics;

import java.util.OptionalLong;

/**
 * The era of the platform's log, by what its answers name.
 *
 * <p>An answer that names none is taken as one of the era that is known.
 */
public final class LogEra {
    private long current;
    private boolean answered;

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

    /** Handles an answer of the log, with the era that it names. */
    public Answer observe(OptionalLong named) {
        boolean first = !answered;
        answered = true;
        long era = named.orElse(current);
        if (era < current) {
            return Answer.OLDER;
        }
        boolean newer = era > current && !first;
        current = era;
        return newer ? Answer.NEWER : Answer.CURRENT;
    }

    /** Returns the newest era that was named, from 0. */
    public long current() {
        return current;
    }
}
