package org.rattanrudder.core.entry;

import org.rattanrudder.core.time.EventTime;

/** The longest time that may have passed at the current event, for the entry's components that forbid by it. */
final class LongestTime {
    private long micros;

    void bind(EventTime now) {
        micros = now.atMostMicros();
    }

    long micros() {
        return micros;
    }
}
