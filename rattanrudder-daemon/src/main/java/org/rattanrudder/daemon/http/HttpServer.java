package org.rattanrudder.daemon.http;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.document.ProcessSettings.ProcessLimits;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** An Undertow server with the limits of a process. */
public final class HttpServer implements AutoCloseable {
    /**
     * The parser cuts off a request head that is larger than this. It is above the configured limit, so that a head
     * between the two gets a proper error response.
     */
    private static final int MAX_PARSER_HEADER_BYTES = 2 << 20;

    private static final int MAX_HEADERS = 1_000;
    private static final int BUFFER_BYTES = 8 << 10;

    private final Undertow undertow;

    /**
     * Starts listening.
     *
     * @param worker the I/O threads; closed by its owner
     * @param listen the address to listen on; with port 0 the system chooses a free one
     * @param limits the limits on request heads, bodies and connections
     * @param handler handles each request, on an I/O thread
     * @throws IOException if the address can't be listened on
     */
    public HttpServer(XnioWorker worker, InetSocketAddress listen, ProcessLimits limits, HttpHandler handler)
            throws IOException {
        undertow = Undertow.builder()
                .setWorker(worker)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(true)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) limits.bodyBytes())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_PARSER_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) limits.bodyMillis())
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                // The path must reach the target exactly as the caller sent it.
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, limits.connections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, limits.connections())
                .setSocketOption(Options.TCP_NODELAY, true)
                .setSocketOption(Options.REUSE_ADDRESSES, true)
                .addHttpListener(listen.getPort(), listen.getHostString())
                .setHandler(handler)
                .build();
        try {
            undertow.start();
        } catch (RuntimeException failed) {
            throw new IOException("can't listen on " + listen + ": " + failed.getMessage(), failed);
        }
    }

    /** Returns the address that the server listens on. */
    public Address address() {
        InetSocketAddress bound =
                (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
        return new Address(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Stops listening and closes all open connections. */
    @Override
    public void close() {
        undertow.stop();
    }
}
