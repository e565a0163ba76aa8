package org.rattanrudder.daemon.relay.port;

import java.util.Optional;

/** A read of a topic of the platform's store. */
public sealed interface StoreRead {
    /** Returns the topic that is read. */
    StoreDialect.Topic topic();

    /** Returns the call that makes this read at the store. */
    PlatformCall call(StoreDialect dialect);

    /**
     * A page of the newest records of all keys.
     *
     * @param after the key after which the page begins; empty for the first page
     */
    record Newest(StoreDialect.Topic topic, Optional<String> after) implements StoreRead {
        @Override
        public PlatformCall call(StoreDialect dialect) {
            return dialect.list(topic, after);
        }
    }

    /**
     * The records from an offset on.
     *
     * @param offset of the first record that is read, from 0
     */
    record From(StoreDialect.Topic topic, long offset) implements StoreRead {
        @Override
        public PlatformCall call(StoreDialect dialect) {
            return dialect.read(topic, offset);
        }
    }
}
