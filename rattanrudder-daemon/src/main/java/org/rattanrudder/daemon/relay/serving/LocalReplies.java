package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.port.RequestDialect;

/** Creates responses of the relay itself: errors, with the time after which to retry. */
final class LocalReplies {
    /**
     * Range of the random retry delay of rejected callers: spreads them so that they don't all retry at once. The whole
     * range shrinks for callers with little time left; cut off at the top, it would bring them back together.
     */
    private static final double MIN_RETRY_AFTER_MILLIS = 200;

    private static final double MAX_RETRY_AFTER_MILLIS = 700;

    /** The largest share of a caller's remaining time that it is asked to wait. */
    private static final double RETRY_AFTER_SHARE = 0.3;

    /** Decimal places of a number of seconds whose unit of precision is a ms. */
    private static final int MILLI_DIGITS = 3;

    private final RequestDialect dialect;
    private final RandomGenerator random;

    LocalReplies(RequestDialect dialect, RandomGenerator random) {
        this.dialect = dialect;
        this.random = random;
    }

    /**
     * Returns the response to a failed request.
     *
     * @param requestId the request ID; empty if it has none
     * @param remainingMillis the time until the caller's deadline; 0 if unknown
     */
    DefaultFullHttpResponse error(ErrorKind error, String requestId, long remainingMillis) {
        DefaultFullHttpResponse response = error(error, requestId);
        ErrorKind.RetryAdvice advice = error.retryAdvice();
        if (advice == ErrorKind.RetryAdvice.LATER || advice == ErrorKind.RetryAdvice.AT_ONCE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter(remainingMillis));
        }
        return response;
    }

    /** Returns an error that asks the caller to retry after {@code millis}, regardless of its deadline. */
    DefaultFullHttpResponse errorWithRetryAfter(ErrorKind error, String requestId, long millis) {
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

    private String retryAfter(long remainingMillis) {
        double longest = remainingMillis > 0
                ? Math.min(MAX_RETRY_AFTER_MILLIS, remainingMillis * RETRY_AFTER_SHARE)
                : MAX_RETRY_AFTER_MILLIS;
        double shortest = longest * MIN_RETRY_AFTER_MILLIS / MAX_RETRY_AFTER_MILLIS;
        return seconds(shortest + random.nextDouble() * (longest - shortest));
    }

    private static String seconds(double millis) {
        // Not by String.format: the first use of a formatter costs a starting relay several ms per core.
        return BigDecimal.valueOf(Math.round(millis), MILLI_DIGITS).toPlainString();
    }
}
