package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Rejects a request that has both Content-Length and chunked Transfer-Encoding, and counts what it keeps of heads that
 * haven't arrived in full.
 *
 * <p>Two parsers could disagree on where such a request ends, and one of them would read the rest of its body as
 * another request (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int CHUNK_BYTES = 64 * 1024;

    private int lastReadBytes;
    private boolean withinHead;
    private long headBytes;

    StrictRequestDecoder(int headerBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(headerBytes)
                .setMaxHeaderSize(headerBytes)
                .setMaxChunkSize(CHUNK_BYTES));
    }

    /** Returns how many bytes it keeps at the most that are a part of a head, or of the size of a chunk. */
    long partialBytes() {
        return withinHead ? headBytes : actualReadableBytes();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        lastReadBytes = ((ByteBuf) message).readableBytes();
        headBytes += lastReadBytes;
        super.channelRead(context, message);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        withinHead = true;
        headBytes = lastReadBytes;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        super.decode(context, buffer, out);
        withinHead &= out.isEmpty();
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and chunked Transfer-Encoding");
    }
}
