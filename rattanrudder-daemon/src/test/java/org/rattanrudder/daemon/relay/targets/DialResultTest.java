package org.rattanrudder.daemon.relay.targets;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class DialResultTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();

    @ParameterizedTest
    @MethodSource("failures")
    void failureIsMappedToOutcome(Exception failure, DialResult.Outcome found) {
        assertThat(DialResult.of(channel.newFailedFuture(failure)).outcome()).isEqualTo(found);
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                Arguments.of(new ConnectException("Connection refused"), DialResult.Outcome.REFUSED),
                Arguments.of(new ConnectTimeoutException("timed out"), DialResult.Outcome.UNANSWERED),
                Arguments.of(new NoRouteToHostException("No route to host"), DialResult.Outcome.UNANSWERED),
                Arguments.of(new SocketException("Connection reset by peer"), DialResult.Outcome.BROKEN),
                Arguments.of(new BindException("no local port"), DialResult.Outcome.BROKEN),
                Arguments.of(
                        new IllegalStateException("executor not accepting a task"), DialResult.Outcome.UNANSWERED));
    }
}
