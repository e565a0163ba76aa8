package org.rattanrudder.core.configuration;

import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.ServiceName;

/**
 * The decision on one edit by the order of the log.
 *
 * @param edit the edit
 * @param offset its offset
 * @param writer the incarnation that wrote the batch
 * @param verdict whether it is accepted
 */
public record EditDecision(LogEntry.DocumentEdit edit, long offset, long writer, Verdict verdict) {
    /** Whether an edit is accepted. */
    public enum Verdict {
        /** The edit is the document in force. */
        ACCEPTED,
        /** Its base was not the revision in force at its offset; it never takes effect. */
        VOID,
        /** This reader lacks earlier records and can't decide it; the next valid index will. */
        UNDECIDED
    }

    /** Returns the service that was edited. */
    public ServiceName service() {
        return edit.service();
    }
}
