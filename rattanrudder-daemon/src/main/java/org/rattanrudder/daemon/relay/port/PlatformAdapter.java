package org.rattanrudder.daemon.relay.port;

import java.util.function.Consumer;

/** Adapts the relay to its platform; loaded from the class path by {@link java.util.ServiceLoader}. */
public interface PlatformAdapter {
    /** Returns the translation of requests and responses. */
    RequestDialect requests();

    /** Returns the protocol of the platform's store. */
    StoreDialect store();

    /** Returns the messages of the startup rehearsal. */
    RehearsalScript rehearsal();

    /** Returns the protocol of engines and context stores, other than requests. */
    EngineDialect engines();

    /** Sets what receives the name of each member of a record or report that nothing reads, each time it is there. */
    void setUnreadListener(Consumer<String> listener);
}
