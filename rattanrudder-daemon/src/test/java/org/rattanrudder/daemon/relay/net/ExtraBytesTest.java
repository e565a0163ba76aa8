package org.rattanrudder.daemon.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.wire.http.ExtraBytes;
import org.rattanrudder.wire.http.ExtraBytes.Arrival;

/** Servers that begin to send an answer to a call a second time and stop at any byte, also behind its end. */
class ExtraBytesTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int CALL_MILLIS = 400;
    private static final List<HttpMethod> METHODS = List.of(HttpMethod.GET, HttpMethod.POST);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static Stream<Arguments> cases() {
        return Stream.of("length", "chunks")
                .flatMap(framing -> Stream.of(Arrival.values())
                        .flatMap(arrival -> METHODS.stream()
                                .flatMap(first ->
                                        METHODS.stream().map(next -> Arguments.of(framing, arrival, first, next)))));
    }

    private CallResult callTwice(ExtraBytes server, HttpMethod firstMethod, HttpMethod nextMethod) throws Exception {
        CompletableFuture<CallResult> second = new CompletableFuture<>();
        group.next().execute(() -> {
            HttpCallClient client =
                    new HttpCallClient(RelayChannels.connector(group), new ByteBudget(64 << 20), server::address);
            client.call(
                    call(firstMethod, "/first"),
                    TIMEOUT_MILLIS,
                    first -> client.call(call(nextMethod, "/next"), CALL_MILLIS, result -> {
                        client.close();
                        second.complete(result);
                    }));
        });
        return second.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static PlatformCall call(HttpMethod method, String path) {
        return new PlatformCall(method, path, EmptyHttpHeaders.INSTANCE, new byte[0]);
    }

    /** Guards against an order that counts as accepted by a second answer to the report before it. */
    @ParameterizedTest
    @MethodSource("cases")
    void theAnswerToTheNextCallIsTheRightOneOrNone(String framing, Arrival arrival, HttpMethod first, HttpMethod next)
            throws Exception {
        List<String> wrong = new ArrayList<>();
        int right = 0;
        try (ExtraBytes server = new ExtraBytes(framing, arrival)) {
            for (int bytes = 1; bytes <= server.firstLength(); bytes++) {
                server.beginWith(bytes);

                CallResult result = callTwice(server, first, next);

                if (result instanceof CallResult.Answered answered) {
                    boolean own = ExtraBytes.isNext(answered.status(), answered.body());
                    right += own ? 1 : 0;
                    if (!own) {
                        wrong.add(bytes + ": " + answered.status());
                    }
                }
            }
            assertThat(wrong).isEmpty();
            assertThat(arrival == Arrival.BEFORE_THE_NEXT || right == server.firstLength())
                    .isTrue();
        }
    }
}
