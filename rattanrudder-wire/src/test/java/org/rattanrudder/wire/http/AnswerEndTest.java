package org.rattanrudder.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.model.Address;

/** Answers that end at any byte of their body, in every framing, in order and by a reset. */
class AnswerEndTest {
    private static final int SECONDS = 10;
    private static final String BODY = "{\"found\":[1,2,3]}";

    private static String framed(String framing, String body) {
        return switch (framing) {
            case "length" -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
            case "chunks" ->
                "Transfer-Encoding: chunked\r\n\r\n5\r\n" + body.substring(0, 5) + "\r\n"
                        + Integer.toHexString(body.length() - 5) + "\r\n" + body.substring(5) + "\r\n0\r\n\r\n";
            default -> "\r\n" + body;
        };
    }

    private static void answer(ServerSocket listening, String answer, boolean reset) throws IOException {
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

    /** Guards against half an answer that is taken for a whole one. */
    @ParameterizedTest
    @MethodSource("org.rattanrudder.wire.http.AnswerFramings#withEnds")
    void anAnswerIsWholeOnlyIfItsEndSaysSo(String framing, boolean reset) throws Exception {
        String whole = framed(framing, BODY);
        int bodyAt = whole.indexOf("\r\n\r\n");
        int from = framing.equals("connection") ? 2 : bodyAt + 4;
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                HttpCaller caller = HttpCaller.create(1)) {
            Address address = new Address("127.0.0.1", listening.getLocalPort());
            for (int cut = from; cut <= whole.length(); cut++) {
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                String sent = head + whole.substring(0, cut);
                Thread server = new Thread(() -> {
                    try {
                        answer(listening, sent, reset);
                    } catch (IOException closed) {
                        throw new IllegalStateException(closed);
                    }
                });
                server.start();

                HttpResult result = caller.fetch(address, HttpRequest.get("/")).get(SECONDS, TimeUnit.SECONDS);

                server.join();
                boolean complete = framing.equals("connection") ? !reset : cut == whole.length();
                assertThat(result instanceof HttpResult.Answered)
                        .as("answered when cut at %d of %d: %s", cut, whole.length(), result)
                        .isEqualTo(complete);
            }
        }
    }

    /** Guards against a head that stops in the middle and is taken for a whole one with an empty body. */
    @ParameterizedTest
    @MethodSource("org.rattanrudder.wire.http.AnswerFramings#withEnds")
    void aHeadThatStopsAtAnyByteIsNoAnswer(String framing, boolean reset) throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framed(framing, BODY);
        int headEnds = whole.indexOf("\r\n\r\n") + 4;
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                HttpCaller caller = HttpCaller.create(1)) {
            Address address = new Address("127.0.0.1", listening.getLocalPort());
            for (int cut = 0; cut < headEnds; cut++) {
                CompletableFuture<ResponseEnd> ended = new CompletableFuture<>();
                caller.call(address, HttpRequest.get("/"), new EndRecorder(ended));
                answer(listening, whole.substring(0, cut), reset);

                assertThat(ended.get(SECONDS, TimeUnit.SECONDS))
                        .as("end when cut at %d of %d", cut, headEnds)
                        .isInstanceOf(ResponseEnd.BrokenOff.class);
            }
        }
    }

    /** Guards against an end that nobody declared and that is told as one that somebody did. */
    @ParameterizedTest
    @CsvSource({"length, true", "chunks, true", "connection, false"})
    void aReaderIsToldWhetherTheEndWasDeclared(String framing, boolean declared) throws Exception {
        CompletableFuture<ResponseEnd> ended = new CompletableFuture<>();
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                HttpCaller caller = HttpCaller.create(1)) {
            Address address = new Address("127.0.0.1", listening.getLocalPort());
            caller.call(address, HttpRequest.get("/"), new EndRecorder(ended));
            answer(listening, "HTTP/1.1 200 OK\r\n" + framed(framing, BODY), false);

            assertThat(ended.get(SECONDS, TimeUnit.SECONDS))
                    .isInstanceOf(declared ? ResponseEnd.Declared.class : ResponseEnd.ConnectionClosed.class);
        }
    }

    /**
     * Records how an answer ended.
     *
     * @param ended completed with the end
     */
    private record EndRecorder(CompletableFuture<ResponseEnd> ended) implements HttpAnswer {
        @Override
        public void head(int status, List<Header> headers) {}

        @Override
        public boolean part(byte[] bytes) {
            return true;
        }

        @Override
        public void end(ResponseEnd end) {
            ended.complete(end);
        }

        @Override
        public void failed(boolean nothingSent, String detail) {
            ended.complete(new ResponseEnd.BrokenOff(detail));
        }
    }
}
