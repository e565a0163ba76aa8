package org.rattanrudder.core.gateway;

import java.util.Optional;

/**
 * Decides whether a response is complete, from how its body ended and where in its content.
 *
 * <p>The operating system closes the connections of a process that dies, at any byte, and often in order. A body that
 * only its connection ends is therefore complete only as far as its content says nothing else.
 */
public final class ResponseCompleteness {
    private static final String WITHIN_EVENT = "ended within an event";
    private static final String WITHOUT_EVENT = "connection closed before the first event";

    private ResponseCompleteness() {}

    /** Returns why a response is incomplete; empty if it may be passed on as complete. */
    public static Optional<String> reasonIncomplete(ResponseEnd end, BodyPosition position) {
        if (end instanceof ResponseEnd.BrokenOff broken) {
            return Optional.of(broken.reason());
        }
        if (position == BodyPosition.WITHIN_EVENT) {
            return Optional.of(WITHIN_EVENT);
        }
        if (end instanceof ResponseEnd.ConnectionClosed && position == BodyPosition.BEFORE_FIRST_EVENT) {
            return Optional.of(WITHOUT_EVENT);
        }
        return Optional.empty();
    }
}
