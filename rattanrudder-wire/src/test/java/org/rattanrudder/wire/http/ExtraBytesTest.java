package org.rattanrudder.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.model.Address;

/** Servers that begin to send an answer a second time and stop at any byte, also behind its end. */
class ExtraBytesTest {
    private static final int SECONDS = 10;
    private static final int NEXT_STATUS = 203;
    private static final String FIRST_BODY = "{\"sequence\":1}";
    private static final String NEXT_BODY = "{\"sequence\":22}";
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, 300, 300);

    /** What the server sends of the second copy. */
    private volatile String beginning = "";

    /** When the beginning arrives: with the answer before it, or once its connection was kept and used again. */
    private enum Arrival {
        WITH_THE_ANSWER,
        BEFORE_THE_NEXT
    }

    private static Stream<Arguments> cases() {
        return Stream.of("length", "chunks")
                .flatMap(framing -> Stream.of(Arrival.values()).map(arrival -> Arguments.of(framing, arrival)));
    }

    private static String answer(String status, String framing, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n"
                + (framing.equals("length")
                        ? "Content-Length: " + body.length() + "\r\n\r\n" + body
                        : "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                                + "\r\n0\r\n\r\n");
    }

    private void acceptAll(ServerSocket listening, String framing, Arrival arrival) {
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
                boolean first = head(socket).contains("/first");
                String before = served > 0 && arrival == Arrival.BEFORE_THE_NEXT ? beginning : "";
                String behind = first && arrival == Arrival.WITH_THE_ANSWER ? beginning : "";
                String own =
                        first ? answer("200 OK", framing, FIRST_BODY) : answer(NEXT_STATUS + " Ok", framing, NEXT_BODY);
                socket.getOutputStream().write((before + own + behind).getBytes(StandardCharsets.ISO_8859_1));
                served++;
            }
        } catch (IOException ended) {
            // The client has closed the connection.
        }
    }

    private static String head(Socket socket) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("ended");
            }
            read.append((char) next);
        }
        return read.toString();
    }

    /** Guards against a beginning of one answer that runs on into the next, or a whole one that is taken for it. */
    @ParameterizedTest
    @MethodSource("cases")
    void theAnswerToTheNextCallIsTheRightOneOrNone(String framing, Arrival arrival) throws Exception {
        String copy = answer("200 OK", framing, FIRST_BODY);
        List<String> wrong = new ArrayList<>();
        int right = 0;
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Address address = new Address("127.0.0.1", listening.getLocalPort());
            new Thread(() -> acceptAll(listening, framing, arrival)).start();
            for (int cut = 1; cut <= copy.length(); cut++) {
                beginning = copy.substring(0, cut);
                try (HttpCaller caller = HttpCaller.create(1)) {
                    HttpResult next = caller.fetch(
                                    address, HttpRequest.get("/first").within(TIMEOUTS))
                            .thenCompose(first -> caller.fetch(
                                    address, HttpRequest.get("/next").within(TIMEOUTS)))
                            .get(SECONDS, TimeUnit.SECONDS);
                    if (next instanceof HttpResult.Answered answered) {
                        boolean own = answered.status() == NEXT_STATUS
                                && new String(answered.body(), StandardCharsets.ISO_8859_1).equals(NEXT_BODY);
                        right += own ? 1 : 0;
                        if (!own) {
                            wrong.add(cut + ": " + answered.status());
                        }
                    }
                }
            }
        }
        assertThat(wrong).isEmpty();
        assertThat(arrival == Arrival.BEFORE_THE_NEXT || right > copy.length() / 2)
                .isTrue();
    }
}
