package org.rattanrudder.daemon.relay.port;

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
}
