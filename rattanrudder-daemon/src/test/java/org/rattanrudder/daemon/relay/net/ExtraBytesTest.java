package org.rattanrudder.daemon.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.memory.ByteBudget;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.PlatformCall;

/** Servers that begin to send an answer to a call a second time and stop at any byte, also behind its end. */
class ExtraBytesTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int CALL_MILLIS = 400;
    private static final String FIRST_BODY = "{\"sequence\":1}";
    private static final String NEXT_BODY = "{\"sequence\":22}";

    private MultiThreadIoEventLoopGroup group;
    private ServerSocket listening;

    /** What the server sends of the second copy. */
    private volatile String beginning = "";

    @BeforeEach
    void listen() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        listening.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** When the beginning arrives: with the answer before it, or once its connection was kept and used again. */
    private enum Arrival {
        WITH_THE_ANSWER,
        BEFORE_THE_NEXT
    }

    private static Stream<Arguments> cases() {
        return Stream.of("length", "chunks")
                .flatMap(framing -> Stream.of(Arrival.values())
                        .flatMap(arrival -> Stream.of(HttpMethod.GET, HttpMethod.POST)
                                .flatMap(first -> Stream.of(HttpMethod.GET, HttpMethod.POST)
                                        .map(next -> Arguments.of(framing, arrival, first, next)))));
    }

    private static String answer(String status, String framing, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n"
                + (framing.equals("length")
                        ? "Content-Length: " + body.length() + "\r\n\r\n" + body
                        : "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                                + "\r\n0\r\n\r\n");
    }

    private void acceptAll(String framing, Arrival arrival) {
        try {
            while (true) {
                Socket socket = listening.accept();
                new Thread(() -> serve(socket, framing, arrival)).start();
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    /** Serves one connection; each request's path says whether it is the first of two. */
    private void serve(Socket socket, String framing, Arrival arrival) {
        try (socket) {
            int served = 0;
            while (true) {
                boolean first = head(socket.getInputStream()).contains("/first");
                String before = served > 0 && arrival == Arrival.BEFORE_THE_NEXT ? beginning : "";
                String behind = first && arrival == Arrival.WITH_THE_ANSWER ? beginning : "";
                String own = first ? answer("200 OK", framing, FIRST_BODY) : answer("202 Ok", framing, NEXT_BODY);
                socket.getOutputStream().write((before + own + behind).getBytes(StandardCharsets.ISO_8859_1));
                served++;
            }
        } catch (IOException ended) {
            // The client has closed the connection.
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("ended");
            }
            read.append((char) next);
        }
        return read.toString();
    }

    private CallResult callTwice(HttpMethod firstMethod, HttpMethod nextMethod) throws Exception {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        CompletableFuture<CallResult> second = new CompletableFuture<>();
        group.next().execute(() -> {
            HttpCallClient client =
                    new HttpCallClient(RelayChannels.connector(group), new ByteBudget(64 << 20), () -> address);
            client.call(
                    call(HttpMethod.GET, "/first"),
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
        String copy = answer("200 OK", framing, FIRST_BODY);
        List<String> wrong = new ArrayList<>();
        int right = 0;
        new Thread(() -> acceptAll(framing, arrival)).start();
        for (int cut = 1; cut <= copy.length(); cut++) {
            beginning = copy.substring(0, cut);

            CallResult result = callTwice(first, next);

            if (result instanceof CallResult.Answered answered) {
                boolean own = answered.status() == 202
                        && new String(answered.body(), StandardCharsets.ISO_8859_1).equals(NEXT_BODY);
                right += own ? 1 : 0;
                if (!own) {
                    wrong.add(cut + ": " + answered.status());
                }
            }
        }
        assertThat(wrong).isEmpty();
        assertThat(arrival == Arrival.BEFORE_THE_NEXT || right == copy.length()).isTrue();
    }
}
