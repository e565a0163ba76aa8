package org.rattanrudder.wire.http;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.call.Header;

/** How a call for a whole answer ended. */
public sealed interface HttpResult {
    /**
     * There was an answer.
     *
     * @param status the HTTP status
     * @param headers its headers
     * @param body its body, whole
     */
    record Answered(int status, List<Header> headers, byte[] body) implements HttpResult {
        /** Returns whether the status says that it was done. */
        public boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        /** Returns the first header of this name, in any case. */
        public Optional<String> header(String name) {
            return headers.stream()
                    .filter(header -> header.name().equalsIgnoreCase(name))
                    .map(Header::value)
                    .findFirst();
        }
    }

    /**
     * There was no whole answer.
     *
     * @param nothingSent whether no byte of the request can have reached the peer
     * @param detail one line for people
     */
    record Failed(boolean nothingSent, String detail) implements HttpResult {}
}
