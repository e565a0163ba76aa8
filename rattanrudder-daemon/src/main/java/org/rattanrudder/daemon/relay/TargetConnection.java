package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Consumer;
import org.rattanrudder.daemon.relay.port.RequestDialect;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;

/**
 * A connection to a target, for one request at a time.
 *
 * <p>It trusts nothing that it reads. A second answer to an earlier request may arrive where the next answer is due: an
 * answer with another request's id is skipped. Bytes that come while no request is under way end the connection. A body
 * without a length ends with its connection, but only if that was closed and not reset. An answer may come before its
 * request was sent in full: the connection isn't used again then, since the target might take the next request for the
 * rest of this one.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final RequestDialect dialect;
    private final Consumer<TargetConnection> whenFree;
    private AnswerSink sink;
    private String requestId = "";
    private boolean headRequest;
    private boolean requestWritten;
    private boolean answering;
    private boolean skipping;
    private boolean interim;
    private boolean keep;
    private boolean unframed;
    private boolean reset;
    private boolean free;
    private long keepAliveMillis = -1;
    private long idleSince;

    TargetConnection(Channel channel, RequestDialect dialect, Consumer<TargetConnection> whenFree) {
        this.channel = channel;
        this.dialect = dialect;
        this.whenFree = whenFree;
    }

    boolean isActive() {
        return channel.isActive();
    }

    /** Returns how long the target said that it keeps an idle connection, in ms; -1 if it didn't say. */
    long keepAliveMillis() {
        return keepAliveMillis;
    }

    long idleSince() {
        return idleSince;
    }

    void idle(long nowMillis) {
        idleSince = nowMillis;
    }

    /** Returns whether the answer to the request of the given method has no body whatever its head says. */
    boolean answersHead() {
        return headRequest;
    }

    /** Sends a request. The body is taken over. */
    void send(HttpRequest request, ByteBuf body, String id, AnswerSink answers) {
        sink = answers;
        requestId = id;
        headRequest = request.method().equals(HttpMethod.HEAD);
        requestWritten = false;
        answering = false;
        skipping = false;
        keep = false;
        free = false;
        DefaultHttpRequest head =
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers());
        channel.write(head);
        ChannelFuture written = channel.writeAndFlush(new DefaultLastHttpContent(body));
        written.addListener(done -> {
            requestWritten = done.isSuccess();
            if (!done.isSuccess()) {
                fail("write failed");
            }
        });
    }

    /** Ends the connection: the target drops a request whose connection is closed. */
    void abort() {
        sink = null;
        channel.close();
    }

    /** Stops listening, but reads the rest of the answer so that the connection can be used again. */
    void detach() {
        sink = Ignored.INSTANCE;
    }

    /** Reads on, or lets the target wait while the caller is slow. */
    void reading(boolean on) {
        channel.config().setAutoRead(on);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (sink == null || free) {
                channel.close();
                return;
            }
            HttpObject object = (HttpObject) message;
            if (object.decoderResult().isFailure()) {
                fail("malformed answer");
                return;
            }
            if (object instanceof HttpResponse response) {
                head(response);
            }
            if (object instanceof HttpContent content) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interim = true;
            return;
        }
        ResponseMetadata facts = dialect.read(response);
        boolean other = facts.requestId().isPresent()
                ? !requestId.isEmpty() && !facts.requestId().get().equals(requestId)
                : !facts.notRun();
        if (other) {
            // Without an id it may be an answer to anything; only a plain refusal comes without one.
            skipping = true;
            if (facts.requestId().isEmpty()) {
                fail("answer without a request id");
            }
            return;
        }
        answering = true;
        keep = HttpUtil.isKeepAlive(response);
        unframed = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
        facts.keepAliveMillis().ifPresent(millis -> keepAliveMillis = millis);
        sink.head(response, facts);
    }

    private void content(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (interim || skipping) {
            interim = interim && !last;
            skipping = skipping && !last;
            return;
        }
        if (sink == null || !answering) {
            return;
        }
        if (content.content().isReadable()) {
            sink.content(content.content());
        }
        if (last && sink != null) {
            if (unframed && reset) {
                fail("reset");
                return;
            }
            finish();
        }
    }

    private void finish() {
        AnswerSink done = sink;
        answering = false;
        // Freed only when all bytes that came with the answer were read: extra ones end the connection.
        free = true;
        done.complete();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!free || !channel.isActive()) {
            return;
        }
        if (!keep || unframed || !requestWritten) {
            channel.close();
            return;
        }
        free = false;
        sink = null;
        whenFree.accept(this);
    }

    private void fail(String reason) {
        AnswerSink failed = sink;
        sink = null;
        channel.close();
        if (failed != null && !free) {
            failed.broken(reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(reset ? "reset" : "closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Comes before the close that it causes; a body without a length must not count as whole then.
        reset = true;
        fail("reset");
    }

    /** Takes what nobody waits for any more. */
    private enum Ignored implements AnswerSink {
        INSTANCE;

        @Override
        public void head(HttpResponse response, ResponseMetadata facts) {}

        @Override
        public void content(ByteBuf piece) {}

        @Override
        public void complete() {}

        @Override
        public void broken(String reason) {}
    }
}
