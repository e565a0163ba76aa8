package org.rattanrudder.daemon.relay.port;

import java.util.Set;
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

    /**
     * Returns whether callers compete for the capacity of targets, so that decisions under load must follow what
     * targets can do rather than what is usual.
     *
     * @param features the features that the platform has in force, by its own names
     */
    boolean callersCompete(Set<String> features);

    /** Sets what receives the name of each member of a record or report that nothing reads, each time it is there. */
    void setUnreadListener(Consumer<String> listener);
}
