package org.rattanrudder.daemon.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.port.PlatformCall;

class HttpCallClientTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String BODY = "{\"items\":[],\"end\":3}";
    private static final PlatformCall CALL =
            new PlatformCall(HttpMethod.GET, "/log-newest", EmptyHttpHeaders.INSTANCE, new byte[0]);

    private MultiThreadIoEventLoopGroup group;
    private ServerSocket listening;

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

    private static String framed(String framing) {
        return switch (framing) {
            case "length" -> "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
            case "chunks" ->
                "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(BODY.length()) + "\r\n" + BODY
                        + "\r\n0\r\n\r\n";
            default -> "\r\n" + BODY;
        };
    }

    private void answer(String answer, boolean reset) throws IOException {
        try (Socket socket = listening.accept()) {
            byte[] request = new byte[1_024];
            int read = 0;
            while (!new String(request, 0, read, StandardCharsets.ISO_8859_1).contains("\r\n\r\n")) {
                read += socket.getInputStream().read(request, read, request.length - read);
            }
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.setSoLinger(reset, 0);
        }
    }

    private CompletableFuture<CallResult> call() {
        Address address = new Address("127.0.0.1", listening.getLocalPort());
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        EventLoop loop = (EventLoop) group.next();
        loop.execute(() -> new HttpCallClient(RelayChannels.connector(group), () -> address)
                .call(CALL, TIMEOUT_MILLIS, result::complete));
        return result;
    }

    /** Guards against half an answer of the store that counts as a whole one, also after a reset. */
    @ParameterizedTest
    @CsvSource({
        "length, false",
        "length, true",
        "chunks, false",
        "chunks, true",
        "connection, false",
        "connection, true"
    })
    void anAnswerIsWholeOnlyIfItsEndSaysSo(String framing, boolean reset) throws Exception {
        String whole = framed(framing);
        int from = framing.equals("connection") ? "\r\n".length() : whole.indexOf("\r\n\r\n");
        for (int cut = from; cut <= whole.length(); cut++) {
            CompletableFuture<CallResult> result = call();
            answer("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + whole.substring(0, cut), reset);

            boolean complete = framing.equals("connection") ? !reset : cut == whole.length();
            assertThat(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .as("cut at %d of %d", cut, whole.length())
                    .isInstanceOf(complete ? CallResult.Answered.class : CallResult.Unanswered.class);
        }
    }
}
