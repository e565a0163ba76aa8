package org.rattanrudder.daemon.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Closes a connection after a response that was sent before the request was read completely.
 *
 * <p>Closing a socket with unread bytes resets the connection, which can discard the response: a caller whose body is
 * too large would see a connection reset instead of the error. Therefore the output is closed first, and further input
 * is read and discarded for a short time.
 */
final class LingeringClose implements IoCallback {
    private static final long LINGER_MILLIS = 1_000;

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        try {
            connection.getOriginalSinkConduit().terminateWrites();
        } catch (IOException closed) {
            IoUtils.safeClose(connection);
            return;
        }
        connection.getChannel().getSourceChannel().setReadListener(ready -> discard(connection));
        connection.getOriginalSourceConduit().resumeReads();
        connection
                .getIoThread()
                .executeAfter(() -> IoUtils.safeClose(connection), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        discard(connection);
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException failure) {
        IoUtils.safeClose(exchange.getConnection());
    }

    private static void discard(HttpServerConnection connection) {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        try (PooledByteBuffer buffer = connection.getByteBufferPool().allocate()) {
            int count = 1;
            while (count > 0) {
                buffer.getBuffer().clear();
                count = source.read(buffer.getBuffer());
            }
            if (count < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException closed) {
            IoUtils.safeClose(connection);
        }
    }
}
