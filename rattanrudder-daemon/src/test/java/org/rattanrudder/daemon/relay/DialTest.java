package org.rattanrudder.daemon.relay;

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

class DialTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();

    @ParameterizedTest
    @MethodSource("failures")
    void aDialThatFailedSaysWhatIsThere(Exception failure, Dial.Result found) {
        assertThat(Dial.of(channel.newFailedFuture(failure)).result()).isEqualTo(found);
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                Arguments.of(new ConnectException("Connection refused"), Dial.Result.REFUSED),
                Arguments.of(new ConnectTimeoutException("timed out"), Dial.Result.UNANSWERED),
                Arguments.of(new NoRouteToHostException("No route to host"), Dial.Result.UNANSWERED),
                Arguments.of(new SocketException("Connection reset by peer"), Dial.Result.BROKEN),
                Arguments.of(new BindException("no local port"), Dial.Result.BROKEN),
                Arguments.of(new IllegalStateException("executor not accepting a task"), Dial.Result.UNANSWERED));
    }
}
