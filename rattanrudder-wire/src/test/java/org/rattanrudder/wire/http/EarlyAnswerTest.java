package org.rattanrudder.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.model.Address;

/** Answers that end before the server has taken the request. */
class EarlyAnswerTest {
    private static final int SECONDS = 10;

    /** Guards against a part of an answer that counts as whole as its end came in order, before a reset. */
    @ParameterizedTest
    @CsvSource({
        "3000000, 0, '', false",
        "3000000, 30, '', false",
        "3000000, 30, 'Content-Length: 4\r\n', true",
        "100, 0, '', true"
    })
    void anAnswerThatEndsWithItsConnectionIsWholeOnlyIfItsRequestWasWritten(
            int bodyBytes, long pauseMillis, String framing, boolean whole) throws Exception {
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                HttpCaller caller = HttpCaller.create(1)) {
            Address address = new Address("127.0.0.1", listening.getLocalPort());

            CompletableFuture<HttpResult> result =
                    caller.fetch(address, HttpRequest.json("POST", "/", new byte[bodyBytes]));
            EarlyAnswers.answer(listening, head -> "HTTP/1.1 200 OK\r\n" + framing + "\r\npart", pauseMillis);

            assertThat(result.get(SECONDS, TimeUnit.SECONDS) instanceof HttpResult.Answered)
                    .isEqualTo(whole);
        }
    }
}
