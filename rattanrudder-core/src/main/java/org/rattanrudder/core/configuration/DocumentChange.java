package org.rattanrudder.core.configuration;

import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.model.ServiceName;

/** The effect of a newly accepted revision at this process. */
public sealed interface DocumentChange {
    /** Returns the service that changed. */
    ServiceName service();

    /** Returns the revision that was accepted. */
    long revision();

    /**
     * The document is now in force here.
     *
     * @param service the service
     * @param revision its revision
     * @param document its content
     */
    record InForce(ServiceName service, long revision, ServiceDocument document) implements DocumentChange {}

    /**
     * This release can't read the accepted text; the previous document stays in force here.
     *
     * @param service the service
     * @param revision the accepted revision
     * @param reason line, column and what was expected, on one line
     */
    record Unreadable(ServiceName service, long revision, String reason) implements DocumentChange {
        /** The name of the log event that every process writes for it. */
        public static final String EVENT = "document_unreadable";

        /** Returns the fields of the log event, as alternating names and values. */
        public String[] fields() {
            return new String[] {"service", service.value(), "revision", Long.toString(revision), "reason", reason};
        }
    }
}
