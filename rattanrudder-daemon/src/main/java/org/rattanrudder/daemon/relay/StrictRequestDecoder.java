package org.rattanrudder.daemon.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Refuses a request that gives its body both a length and chunks.
 *
 * <p>Two readers could disagree on where such a request ends, and one of them would take the rest of its body for a
 * request of its own.
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
        throw new IllegalArgumentException("a body with both a length and chunks");
    }
}
