package org.rattanrudder.standins;

import java.io.IOException;

/** Answers the calls of one stand-in. It may block: each call has a thread of its own. */
@FunctionalInterface
interface StandInHandler {
    /**
     * Answers one call.
     *
     * @throws IOException if the caller's connection breaks; the connection is then closed
     * @throws IllegalArgumentException if the call can't be read; answered with 400
     */
    Reply answer(StandInCall call) throws IOException;
}
