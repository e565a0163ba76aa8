package org.rattanrudder.daemon.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.port.RequestDialect;

/** Makes answers of our own: errors, and when to come back. */
final class OwnAnswers {
    /** The range of the time after which refused callers come back, in ms: spread, so that they don't come at once. */
    private static final long SHORTEST_RETURN_MILLIS = 200;

    private static final long LONGEST_RETURN_MILLIS = 700;

    /** The part of a caller's time that it is asked to wait at most. */
    private static final double RETURN_SHARE = 0.3;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RequestDialect dialect;
    private final RandomGenerator random;

    OwnAnswers(RequestDialect dialect, RandomGenerator random) {
        this.dialect = dialect;
        this.random = random;
    }

    /**
     * Returns the answer to a request that failed.
     *
     * @param requestId the request's id; empty if it has none
     * @param leftMillis the time that its caller still has; 0 if unknown
     */
    DefaultFullHttpResponse error(ErrorKind error, String requestId, long leftMillis) {
        DefaultFullHttpResponse response = error(error, requestId);
        ErrorKind.RetryAdvice advice = error.retryAdvice();
        if (advice == ErrorKind.RetryAdvice.LATER || advice == ErrorKind.RetryAdvice.AT_ONCE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, returnAfter(leftMillis));
        }
        return response;
    }

    /** Returns the answer to a request that won't be served for so long, in ms, whenever its caller comes back. */
    DefaultFullHttpResponse errorFor(ErrorKind error, String requestId, long millis) {
        DefaultFullHttpResponse response = error(error, requestId);
        response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(millis));
        return response;
    }

    private DefaultFullHttpResponse error(ErrorKind error, String requestId) {
        byte[] text = ("{\"error\":{\"kind\":\"" + error.wireName() + "\"}}\n").getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(error.status()), Unpooled.wrappedBuffer(text));
        response.headers().set(dialect.localReplyHeaders(requestId));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        HttpUtil.setContentLength(response, text.length);
        return response;
    }

    private String returnAfter(long leftMillis) {
        double drawn = SHORTEST_RETURN_MILLIS + random.nextDouble() * (LONGEST_RETURN_MILLIS - SHORTEST_RETURN_MILLIS);
        double millis = leftMillis > 0 ? Math.min(drawn, leftMillis * RETURN_SHARE) : drawn;
        return seconds(millis);
    }

    private static String seconds(double millis) {
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }
}
