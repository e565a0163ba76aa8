package org.rattanrudder.wire.http;

/**
 * How long the parts of a call may take, in milliseconds; 0 for no bound.
 *
 * @param connectMillis until the connection is up
 * @param headMillis from then until the answer's head is there
 * @param idleMillis between two parts of the body; not counted while reading is paused
 */
public record HttpTimeouts(int connectMillis, int headMillis, int idleMillis) {
    /** Two seconds to connect, five for the head and between parts. */
    public static final HttpTimeouts DEFAULT = new HttpTimeouts(2_000, 5_000, 5_000);

    /** How long a body may take that is wanted whole, as a multiple of the time between two parts. */
    private static final int BODY_IDLE_RATIO = 5;

    /** Returns how long a call may take whose answer is wanted whole, in ms; 0 for no bound. */
    int wholeMillis() {
        return headMillis == 0 || idleMillis == 0 ? 0 : connectMillis + headMillis + BODY_IDLE_RATIO * idleMillis;
    }
}
