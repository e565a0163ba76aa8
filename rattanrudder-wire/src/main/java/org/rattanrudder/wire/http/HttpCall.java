package org.rattanrudder.wire.http;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.model.Address;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One call under way. All of its state belongs to one I/O thread; the public methods may be called from any. */
public final class HttpCall {
    /**
     * What the system may take of a request before the other side has received it, in bytes. Left to itself it takes
     * megabytes, so that a request which nobody reads would count as sent.
     */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    /** The connection counts what it receives. */
    private static final OptionMap CONNECTION = OptionMap.builder()
            .set(UndertowOptions.ENABLE_STATISTICS, true)
            .set(Options.SEND_BUFFER, SEND_BUFFER_BYTES)
            .getMap();

    /** Headers that frame a body. */
    private static final Set<HttpString> SINGLE_HEADERS =
            Set.of(Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING, Headers.CONTENT_ENCODING, Headers.CONTENT_TYPE);

    private static final int RAW_CHECK_MILLIS = 100;

    private final Address address;
    private final HttpRequest request;
    private final HttpAnswer answer;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool;
    private final FetchBounds bounds;

    private IoFuture<ClientConnection> connecting;
    private PooledConnection connection;
    private StreamSourceChannel source;
    private XnioExecutor.Key timer;
    private XnioExecutor.Key wholeTimer;
    private XnioExecutor.Key rawTimer;
    private long readBefore;
    private long promised;
    private ResponseEnd end;
    private long received;
    private boolean requestHandedOver;
    private boolean requestWritten;
    private boolean connectionClosed;
    private boolean paused;
    private boolean reading;
    private boolean ended;

    /** Whether its connection carried another call before. */
    private boolean pooled;

    HttpCall(
            Address address,
            HttpRequest request,
            HttpAnswer answer,
            XnioIoThread thread,
            ByteBufferPool buffers,
            ConnectionPool pool,
            FetchBounds bounds) {
        this.address = address;
        this.request = request;
        this.answer = answer;
        this.thread = thread;
        this.buffers = buffers;
        this.pool = pool;
        this.bounds = bounds;
    }

    /** Reads on after a part that was answered with false; without effect otherwise. */
    public void readOn() {
        thread.execute(() -> {
            if (!ended && paused) {
                paused = !answer.resume();
                read();
            }
        });
    }

    /** Gives the call up unless it has ended: its connection is closed and its answer hears nothing more. */
    public void cancel() {
        thread.execute(() -> {
            if (!ended) {
                close();
            }
        });
    }

    void start(PooledConnection idle) {
        answer.started(this);
        thread.execute(this::expectWhole);
        if (idle != null) {
            pooled = true;
            thread.execute(() -> send(idle));
            return;
        }
        thread.execute(this::connect);
    }

    private void expectWhole() {
        if (!ended && bounds.millis() > 0) {
            wholeTimer = thread.executeAfter(
                    () -> fail("no whole answer in " + bounds.millis() + " ms"),
                    bounds.millis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** What a decoder skips, such as a chunk's extensions, reaches no reader that could count it. */
    private void checkRawBytes() {
        long read = connection.connection().getStatistics().getRead() - readBefore;
        if (read > bounds.rawBytes()) {
            fail("over " + bounds.rawBytes() + " bytes received");
        } else if (!ended) {
            rawTimer = thread.executeAfter(this::checkRawBytes, RAW_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void connect() {
        if (ended) {
            return;
        }
        URI uri = URI.create("http://" + address);
        connecting = UndertowClient.getInstance().connect(uri, thread, buffers, CONNECTION);
        expect(request.timeouts().connectMillis(), () -> {
            fail("no connection in " + request.timeouts().connectMillis() + " ms");
        });
        connecting.addNotifier((future, unused) -> thread.execute(() -> connected(future)), null);
    }

    private void connected(IoFuture<? extends ClientConnection> future) {
        if (future.getStatus() == IoFuture.Status.DONE) {
            try {
                send(new PooledConnection(future.get()));
            } catch (IOException failed) {
                fail("can't connect: " + failed.getMessage());
            }
            return;
        }
        IOException cause = future.getStatus() == IoFuture.Status.FAILED ? future.getException() : null;
        fail("can't connect" + (cause == null ? "" : ": " + cause.getMessage()));
    }

    private void send(PooledConnection opened) {
        if (ended) {
            opened.close();
            return;
        }
        connection = opened;
        // From here on a byte of the request may be on its way, whatever happens: a failure is never "nothing sent".
        requestHandedOver = true;
        if (bounds.rawBytes() > 0) {
            readBefore = opened.connection().getStatistics().getRead();
            checkRawBytes();
        }
        expect(
                request.timeouts().headMillis(),
                () -> fail("no answer in " + request.timeouts().headMillis() + " ms"));
        opened.whenClosed(this::connectionClosed);
        opened.connection().sendRequest(clientRequest(), callback(this::requestStarted));
    }

    private void connectionClosed() {
        connectionClosed = true;
        if (source == null) {
            fail("the connection was closed");
            return;
        }
        // The client closes a connection that isn't kept once the last bytes of the answer were read, before anyone
        // was told that they were the last; and bytes may still wait here while reading is paused. So it is the next
        // read that decides whether the answer is whole.
        read();
    }

    private ClientRequest clientRequest() {
        ClientRequest sent =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
        HeaderMap headers = sent.getRequestHeaders();
        request.headers().forEach(header -> headers.add(new HttpString(header.name()), header.value()));
        headers.put(Headers.HOST, address.toString());
        if (request.body().length > 0 || !isRead(request.method())) {
            headers.put(Headers.CONTENT_LENGTH, Integer.toString(request.body().length));
        }
        if (!request.reuse()) {
            headers.put(Headers.CONNECTION, "close");
        }
        return sent;
    }

    private static boolean isRead(String method) {
        return method.equals("GET") || method.equals("HEAD");
    }

    private boolean hasNoBody(int status) {
        return request.method().equals("HEAD")
                || status == StatusCodes.NO_CONTENT
                || status == StatusCodes.NOT_MODIFIED;
    }

    private void requestStarted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::answered));
        StreamSinkChannel sink = exchange.getRequestChannel();
        ByteBuffer body = ByteBuffer.wrap(request.body());
        sink.getWriteSetter().set(ready -> write(sink, body));
        write(sink, body);
    }

    private void write(StreamSinkChannel sink, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (sink.flush()) {
                requestWritten = true;
                sink.suspendWrites();
            } else {
                sink.resumeWrites();
            }
        } catch (IOException failed) {
            fail("can't send: " + failed.getMessage());
        }
    }

    private void answered(ClientExchange exchange) {
        if (ended) {
            return;
        }
        int status = exchange.getResponse().getResponseCode();
        if (status < StatusCodes.OK) {
            fail("the interim answer " + status + " in place of one");
            return;
        }
        if (mayBeOfTwoAnswers(exchange.getResponse())) {
            fail("a head that two answers may have made");
            return;
        }
        List<Header> headers = new ArrayList<>();
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            values.forEach(
                    value -> headers.add(new Header(values.getHeaderName().toString(), value)));
        }
        String length = exchange.getResponse().getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
        boolean bodiless = hasNoBody(status);
        promised = length == null || bodiless ? 0 : Long.parseLong(length);
        boolean declared = bodiless
                || length != null
                || exchange.getResponse().getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
        end = declared ? new ResponseEnd.Declared() : new ResponseEnd.ConnectionClosed();
        answer.head(status, headers);
        source = exchange.getResponseChannel();
        source.getReadSetter().set(ready -> read());
        read();
    }

    /** Returns whether a line that was cut may run on into the head of another answer, or two answers frame a body. */
    private static boolean mayBeOfTwoAnswers(ClientResponse response) {
        HeaderMap headers = response.getResponseHeaders();
        if (!StatusLines.isVersion(response.getProtocol().toString()) || StatusLines.isWithin(response.getStatus())) {
            return true;
        }
        for (HeaderValues values : headers) {
            boolean withStatusLine = StatusLines.isWithin(values.getHeaderName().toString())
                    || values.stream().anyMatch(StatusLines::isWithin);
            if (withStatusLine || values.size() > 1 && SINGLE_HEADERS.contains(values.getHeaderName())) {
                return true;
            }
        }
        return headers.contains(Headers.CONTENT_LENGTH) && headers.contains(Headers.TRANSFER_ENCODING);
    }

    private void read() {
        // A part that is read may call back into this call; without the mark, the same bytes would be read twice over.
        if (ended || reading || source == null) {
            return;
        }
        reading = true;
        try (PooledByteBuffer pooled = buffers.allocate()) {
            readParts(pooled.getBuffer());
        } catch (IOException failed) {
            fail("the answer broke off: " + failed.getMessage());
        } finally {
            reading = false;
        }
    }

    private void readParts(ByteBuffer buffer) throws IOException {
        while (!ended && !paused) {
            buffer.clear();
            int count = source.read(buffer);
            if (count < 0) {
                finish();
                return;
            }
            received += count;
            if (count == 0 && connectionClosed) {
                fail("the connection was closed");
                return;
            }
            if (count == 0) {
                expectMore();
                source.resumeReads();
                return;
            }
            byte[] bytes = new byte[count];
            buffer.flip().get(bytes);
            paused = !answer.part(bytes);
        }
        if (!ended) {
            stopTimer();
            source.suspendReads();
        }
    }

    private void expectMore() {
        int idleMillis = request.timeouts().idleMillis();
        expect(idleMillis, () -> fail("nothing more of the answer in " + idleMillis + " ms"));
    }

    private void finish() {
        // A channel that was closed under us may report an end; only the promised length shows a cut answer.
        if (received < promised) {
            fail("the answer broke off after " + received + " of " + promised + " bytes");
            return;
        }
        if (end instanceof ResponseEnd.ConnectionClosed && !requestWritten) {
            fail("the answer ended before its request was sent");
            return;
        }
        stopTimers();
        if (!request.reuse()) {
            ended = true;
            closeConnection();
            answer.end(end);
            return;
        }
        // The client closes a connection on which more bytes arrived than the answer, but in a task of its own.
        thread.execute(this::endReusable);
    }

    private void endReusable() {
        if (ended) {
            return;
        }
        if (pooled && !connection.isOpen() && end instanceof ResponseEnd.Declared) {
            fail("bytes behind the answer, which may be an earlier one");
            return;
        }
        ended = true;
        pool.keep(address, connection);
        answer.end(end);
    }

    private void fail(String detail) {
        if (ended) {
            return;
        }
        close();
        answer.failed(!requestHandedOver, detail);
    }

    private void close() {
        ended = true;
        stopTimers();
        closeConnection();
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
    }

    private void expect(int millis, Runnable late) {
        stopTimer();
        if (millis > 0) {
            timer = thread.executeAfter(late, millis, TimeUnit.MILLISECONDS);
        }
    }

    private void stopTimers() {
        stopTimer();
        stop(wholeTimer);
        stop(rawTimer);
    }

    private static void stop(XnioExecutor.Key pending) {
        if (pending != null) {
            pending.remove();
        }
    }

    private void stopTimer() {
        stop(timer);
        timer = null;
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> completed) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
                HttpCall.this.completed(completed, result);
            }

            @Override
            public void failed(IOException failure) {
                fail("the call failed: " + failure.getMessage());
            }
        };
    }

    private void completed(Consumer<ClientExchange> next, ClientExchange exchange) {
        if (!ended) {
            next.accept(exchange);
        }
    }
}
