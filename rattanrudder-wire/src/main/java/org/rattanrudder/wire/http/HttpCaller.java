package org.rattanrudder.wire.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.rattanrudder.core.model.Address;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Makes HTTP calls, each exactly once: whether to try again is for the caller to decide. */
public final class HttpCaller implements AutoCloseable {
    /** The largest answer that {@link #fetch(Address, HttpRequest)} takes, in bytes. */
    public static final int FETCH_LIMIT_BYTES = 8 << 20;

    private static final int BUFFER_BYTES = 8 << 10;
    private static final int POOLED_BUFFERS = 64;

    private final XnioWorker worker;
    private final boolean ownsWorker;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool = new ConnectionPool();

    private HttpCaller(XnioWorker worker, boolean ownsWorker) {
        this.worker = worker;
        this.ownsWorker = ownsWorker;
        this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, 0);
    }

    /** Returns a caller on the I/O threads of a worker that someone else closes. */
    public static HttpCaller on(XnioWorker worker) {
        return new HttpCaller(worker, false);
    }

    /** Returns a caller with so many I/O threads of its own, which don't keep the process alive. */
    public static HttpCaller create(int threads) {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_NAME, "http-caller")
                .set(Options.WORKER_IO_THREADS, threads)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true)
                .getMap();
        try {
            return new HttpCaller(
                    Xnio.getInstance(HttpCaller.class.getClassLoader()).createWorker(options), true);
        } catch (IOException failed) {
            throw new UncheckedIOException("can't start the HTTP client's threads", failed);
        }
    }

    /** Makes a call whose answer is streamed. */
    public HttpCall call(Address address, HttpRequest request, HttpAnswer answer) {
        return call(address, request, answer, FetchBounds.NONE);
    }

    private HttpCall call(Address address, HttpRequest request, HttpAnswer answer, FetchBounds bounds) {
        PooledConnection pooled = request.reuse() ? pool.take(address) : null;
        XnioIoThread thread =
                pooled == null ? worker.getIoThread() : pooled.connection().getIoThread();
        HttpCall call = new HttpCall(address, request, answer, thread, buffers, pool, bounds);
        call.start(pooled);
        return call;
    }

    /**
     * Makes a call whose answer is wanted whole, up to {@link #FETCH_LIMIT_BYTES}. Never ends exceptionally, unless who
     * takes the result cancels it: then the call is given up.
     */
    public CompletableFuture<HttpResult> fetch(Address address, HttpRequest request) {
        return fetch(address, request, FETCH_LIMIT_BYTES);
    }

    /** Makes a call as {@link #fetch(Address, HttpRequest)} does, whose answer's body has up to so many bytes. */
    public CompletableFuture<HttpResult> fetch(Address address, HttpRequest request, int limitBytes) {
        WholeAnswer whole = new WholeAnswer(limitBytes);
        call(address, request, whole, FetchBounds.of(request, limitBytes));
        whole.result().whenComplete((result, failure) -> whole.giveUp());
        return whole.result();
    }

    /** Closes idle connections and, if they are its own, the threads. */
    @Override
    public void close() {
        pool.close();
        if (ownsWorker) {
            worker.shutdownNow();
        }
        buffers.close();
    }
}
