package org.rattanrudder.daemon.relay;

import java.util.Optional;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreResponse;

/** The result of a call. */
sealed interface CallResult {
    /**
     * A complete response was received.
     *
     * @param status the HTTP status
     * @param body the body
     */
    record Answered(int status, byte[] body) implements CallResult {}

    /**
     * No complete response was received.
     *
     * @param reason the cause as one word
     */
    record Unanswered(String reason) implements CallResult {}

    /** Returns the result of an append; without a response, or with a malformed one, the append has failed. */
    default StoreResponse toAppendResponse(StoreDialect store) {
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
