package org.rattanrudder.wire.http;

import io.undertow.client.ClientConnection;
import java.io.IOException;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** A connection with its one close listener, so that calls that share it one after another don't pile listeners up. */
final class PooledConnection {
    private static final Runnable NOBODY = () -> {};

    private final ClientConnection connection;
    private volatile Runnable whenClosed = NOBODY;
    private XnioExecutor.Key expiry;

    PooledConnection(ClientConnection connection) {
        this.connection = connection;
        connection.addCloseListener(gone -> whenClosed.run());
    }

    ClientConnection connection() {
        return connection;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    void whenClosed(Runnable action) {
        whenClosed = action;
    }

    void expireWith(XnioExecutor.Key timer) {
        expiry = timer;
    }

    void stopExpiry() {
        if (expiry != null) {
            expiry.remove();
            expiry = null;
        }
    }

    /** Closes the socket itself: the client's own close reads on until the other side closes, which it may never do. */
    void close() {
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException alreadyClosed) {
            IoUtils.safeClose(connection);
        }
    }
}
