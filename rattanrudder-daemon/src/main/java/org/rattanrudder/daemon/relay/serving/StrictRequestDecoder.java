package org.rattanrudder.daemon.relay.serving;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Rejects a request that has both Content-Length and chunked Transfer-Encoding.
 *
 * <p>Two parsers could disagree on where such a request ends, and one of them would read the rest of its body as
 * another request (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int CHUNK_BYTES = 64 * 1024;

    StrictRequestDecoder(int headerBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(headerBytes)
                .setMaxHeaderSize(headerBytes)
                .setMaxChunkSize(CHUNK_BYTES));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and chunked Transfer-Encoding");
    }
}
