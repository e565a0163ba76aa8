package org.rattanrudder.core.log;

/** The streams of the platform's log that the system uses. */
public enum LogStream {
    /** Service documents and their refreshes. */
    CONFIGURATION("configuration"),
    /** Claims of idempotency keys and their outcomes. */
    CLAIMS("claims"),
    /** Leases of targets and claims of weight loads. */
    ORDERS("orders");

    private final String wireName;

    LogStream(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the stream's name in the platform's log. */
    public String wireName() {
        return wireName;
    }
}
