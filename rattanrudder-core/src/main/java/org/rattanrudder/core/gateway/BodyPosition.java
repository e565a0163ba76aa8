package org.rattanrudder.core.gateway;

import java.util.Locale;

/** Where in its content the body of a response stands. */
public enum BodyPosition {
    /** The content has no structure that is read here. */
    OPAQUE,
    /** An event stream without a complete event so far. */
    BEFORE_FIRST_EVENT,
    /** An event stream whose last event is complete. */
    BETWEEN_EVENTS,
    /** An event stream in the middle of an event. */
    WITHIN_EVENT;

    /** Returns the name for logs and metrics. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
