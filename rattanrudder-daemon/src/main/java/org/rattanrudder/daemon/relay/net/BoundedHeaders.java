package org.rattanrudder.daemon.relay.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import org.rattanrudder.wire.http.StatusLines;

/**
 * The headers, or trailers, of a response, of a bounded number.
 *
 * <p>The decoder bounds the bytes of names and values alone: thousands of short lines fit into its limit, and each
 * takes some hundred bytes of memory.
 */
public final class BoundedHeaders extends DefaultHttpHeaders {
    /** A response with more lines in its head, or in its trailers, is malformed. */
    static final int MAX_LINES = 128;

    private BoundedHeaders(DefaultHttpHeadersFactory rules) {
        super(rules.getNameValidator(), value -> {
            rules.getValueValidator().validate(value);
            rejectStatusLine(value);
        });
    }

    /** A line that was cut runs on into the next response, see {@link StrictResponseDecoder}. */
    private static void rejectStatusLine(CharSequence value) {
        if (StatusLines.isWithin(value)) {
            throw new IllegalArgumentException("a status line in a header's value");
        }
    }

    /** Returns the configuration of a decoder of responses. */
    public static HttpDecoderConfig decoderConfiguration() {
        return new HttpDecoderConfig()
                .setHeadersFactory(factory(DefaultHttpHeadersFactory.headersFactory()))
                .setTrailersFactory(factory(DefaultHttpHeadersFactory.trailersFactory()));
    }

    private static HttpHeadersFactory factory(DefaultHttpHeadersFactory rules) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new BoundedHeaders(rules);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new BoundedHeaders(rules);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (size() >= MAX_LINES) {
            throw new TooLongHttpHeaderException("more than " + MAX_LINES + " header lines");
        }
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }
}
