package org.rattanrudder.daemon.relay;

import java.util.Optional;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreResponse;

/** What came of a call. */
sealed interface CallAnswer {
    /**
     * An answer came, whole.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Answered(int status, byte[] body) implements CallAnswer {}

    /**
     * No answer came.
     *
     * @param reason why, as one word
     */
    record Unanswered(String reason) implements CallAnswer {}

    /** Returns what an append came to; one without an answer, or with one that can't be read, has failed. */
    default StoreResponse ofAppend(StoreDialect store) {
        if (!(this instanceof Answered answered)) {
            return new StoreResponse.Failed(0, Optional.of(((Unanswered) this).reason()));
        }
        try {
            return store.readAppend(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            return new StoreResponse.Failed(answered.status(), Optional.of(String.valueOf(malformed.getMessage())));
        }
    }
}
