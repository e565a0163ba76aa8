package org.rattanrudder.daemon.relay.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.DoubleSummaryStatistics;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.DoubleStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.port.ForwardingMetadata;
import org.rattanrudder.daemon.relay.port.RequestDialect;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;

class LocalRepliesTest {
    private static final int REPLIES = 200;

    private final LocalReplies replies = new LocalReplies(
            new PlainDialect(), RandomGeneratorFactory.of("L64X128MixRandom").create(3));

    /** Guards against callers with little time left that are all told the same time and come back together. */
    @ParameterizedTest
    @CsvSource({"600, 0.051, 0.180", "4000, 0.200, 0.700", "0, 0.200, 0.700"})
    void rejectedCallersComeBackSpreadOverTheWholeRange(long remainingMillis, double shortest, double longest) {
        DoubleSummaryStatistics seconds = DoubleStream.generate(() -> retryAfter(remainingMillis))
                .limit(REPLIES)
                .summaryStatistics();

        assertThat(seconds.getMin()).isBetween(shortest, shortest + 0.1 * longest);
        assertThat(seconds.getMax()).isBetween(0.9 * longest, longest);
    }

    private double retryAfter(long remainingMillis) {
        return Double.parseDouble(replies.error(ErrorKind.OVERLOADED, "r1", remainingMillis)
                .headers()
                .get("retry-after"));
    }

    /** Adds no headers. */
    private static final class PlainDialect implements RequestDialect {
        @Override
        public RequestMetadata read(HttpRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public HttpHeaders forTarget(HttpHeaders fromCaller, ForwardingMetadata forwarding) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ResponseMetadata read(HttpResponse answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Set<String> singleResponseHeaders() {
            return Set.of();
        }

        @Override
        public HttpHeaders forCaller(HttpHeaders fromTarget) {
            return fromTarget;
        }

        @Override
        public HttpHeaders localReplyHeaders(String requestId) {
            return new DefaultHttpHeaders();
        }
    }
}
