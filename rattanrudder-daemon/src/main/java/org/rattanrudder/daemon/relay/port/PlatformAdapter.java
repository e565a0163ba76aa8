package org.rattanrudder.daemon.relay.port;

/** The platform that a relay runs on; found on the class path by the service loader. */
public interface PlatformAdapter {
    /** Returns how requests and answers are translated. */
    RequestDialect requests();

    /** Returns how the platform's store is spoken to. */
    StoreDialect store();

    /** Returns what is said in the rehearsal of a start. */
    RehearsalScript rehearsal();

    /** Returns how engines and context stores are spoken to, beside requests. */
    EngineDialect engines();
}
