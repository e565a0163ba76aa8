package org.rattanrudder.command;

import org.rattanrudder.core.model.Address;

/** Makes one HTTP call to one entry, exactly once. */
@FunctionalInterface
interface Exchange {
    /** Makes the call and waits for its whole answer. */
    Reply exchange(Address entry, Request request);

    /**
     * One call.
     *
     * @param method the HTTP method
     * @param path the path
     * @param body a JSON body; empty for none
     * @param credential the operators' credential
     */
    record Request(String method, String path, String body, String credential) {}

    /** What came of a call. */
    sealed interface Reply {
        /**
         * The entry answered.
         *
         * @param status the HTTP status
         * @param body the body
         */
        record Answered(int status, String body) implements Reply {}

        /**
         * There was no whole answer.
         *
         * @param nothingSent whether no byte can have reached the entry
         * @param detail one line for people
         */
        record Failed(boolean nothingSent, String detail) implements Reply {}
    }
}
