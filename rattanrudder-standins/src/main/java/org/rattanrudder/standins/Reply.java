package org.rattanrudder.standins;

import java.io.IOException;
import java.util.Map;

/**
 * A stand-in's answer.
 *
 * @param status the HTTP status
 * @param headers its headers
 * @param length the body's length in bytes, or {@link #UNKNOWN_LENGTH} for a stream
 * @param body writes the body
 */
record Reply(int status, Map<String, String> headers, long length, Body body) {
    static final long UNKNOWN_LENGTH = -1;

    /** Writes a body part by part. */
    @FunctionalInterface
    interface Body {
        void writeTo(Sink sink) throws IOException;
    }

    /** Takes a part of a body and passes it on to the caller's connection. */
    @FunctionalInterface
    interface Sink {
        void send(byte[] bytes, int offset, int length) throws IOException;

        default void send(byte[] bytes) throws IOException {
            send(bytes, 0, bytes.length);
        }
    }

    static Reply json(int status, Object value) {
        byte[] bytes = Json.bytes(value);
        return bytes(status, Map.of("Content-Type", "application/json"), bytes);
    }

    static Reply bytes(int status, Map<String, String> headers, byte[] bytes) {
        return new Reply(status, headers, bytes.length, sink -> sink.send(bytes));
    }

    static Reply empty(int status) {
        return bytes(status, Map.of(), new byte[0]);
    }

    static Reply error(int status, String message) {
        return json(status, Json.object().set("error", Json.object().put("message", message)));
    }

    static Reply events(Body body) {
        return new Reply(200, Map.of("Content-Type", "text/event-stream"), UNKNOWN_LENGTH, body);
    }
}
