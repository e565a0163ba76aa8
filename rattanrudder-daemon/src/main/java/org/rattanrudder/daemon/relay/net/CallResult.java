package org.rattanrudder.daemon.relay.net;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.function.BiFunction;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;

/** The result of a call. */
public sealed interface CallResult {
    /**
     * A response was received to its end. Where it declared no end, the connection was closed in order: that a body was
     * cut shows only in its content, so whoever parses it must reject one that is cut.
     *
     * @param response status and headers
     * @param body the body
     */
    record Answered(HttpResponse response, byte[] body) implements CallResult {
        private static final int TOO_MANY_REQUESTS = 429;
        private static final int SERVER_ERRORS = 500;

        /** Returns the HTTP status. */
        public int status() {
            return response.status().code();
        }

        @Override
        public boolean isServed() {
            return status() != TOO_MANY_REQUESTS && status() < SERVER_ERRORS;
        }

        @Override
        public String reason() {
            return "status " + status();
        }
    }

    /**
     * No complete response was received.
     *
     * @param reason the cause as one word
     */
    record Unanswered(String reason) implements CallResult {
        /** Nothing of the call was sent, since the condition for it had ended. */
        public static final Unanswered NOT_SENT = new Unanswered("not_sent");

        @Override
        public boolean isServed() {
            return false;
        }
    }

    /** Returns whether the call was answered and wasn't refused. */
    boolean isServed();

    /** Returns the cause if the call wasn't served, in few words. */
    String reason();

    /**
     * Returns the result of an append in an era of the log; without a response, or with a malformed one, the append has
     * failed.
     */
    default StoreResponse toAppendResponse(StoreDialect store, long era) {
        return parse((status, body) -> store.readAppend(era, status, body));
    }

    /** Returns the result of a read of records; without a response, or with a malformed one, the read has failed. */
    default StoreResponse toRecords(StoreDialect store, Topic topic, LogPosition from) {
        return parse((status, body) -> store.readRecords(topic, from, status, body));
    }

    private StoreResponse parse(BiFunction<Integer, byte[], StoreResponse> parser) {
        if (!(this instanceof Answered answered)) {
            return new StoreResponse.Failed(0, Optional.of(((Unanswered) this).reason()));
        }
        try {
            return parser.apply(answered.status(), answered.body());
        } catch (IllegalArgumentException malformed) {
            return new StoreResponse.Failed(answered.status(), Optional.of(String.valueOf(malformed.getMessage())));
        }
    }
}
