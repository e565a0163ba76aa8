package org.rattanrudder.daemon.entry;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller went away while its answer is awaited.
 *
 * <p>Undertow reads nothing from a connection whose request is being handled, so the end of the stream would show only
 * with the first write: a prompt would wait in the queue and be computed for nobody.
 */
final class CloseWatch {
    private final HttpServerExchange exchange;
    private final Runnable gone;

    CloseWatch(HttpServerExchange exchange, Runnable gone) {
        this.exchange = exchange;
        this.gone = gone;
    }

    /** Begins to watch, on the I/O thread; Undertow takes the channel back when it awaits the next request. */
    void begin() {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
            channel.setReadListener(ready -> read(connection));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private void read(HttpServerConnection connection) {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
        int count;
        try {
            count = source.read(buffer.getBuffer());
        } catch (IOException reset) {
            count = -1;
        }
        if (count > 0) {
            // The next request of a caller that doesn't wait for its answers: given back, and read no further.
            source.suspendReads();
            buffer.getBuffer().flip();
            connection.ungetRequestBytes(buffer);
            return;
        }
        buffer.close();
        if (count < 0) {
            source.suspendReads();
            gone.run();
        }
    }
}
