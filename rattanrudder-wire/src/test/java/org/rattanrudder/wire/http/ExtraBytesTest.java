package org.rattanrudder.wire.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.wire.http.ExtraBytes.Arrival;

/** Servers that begin to send an answer a second time and stop at any byte, also behind its end. */
class ExtraBytesTest {
    private static final int SECONDS = 10;
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, 300, 300);

    private static Stream<Arguments> cases() {
        return Stream.of("length", "chunks")
                .flatMap(framing -> Stream.of(Arrival.values()).map(arrival -> Arguments.of(framing, arrival)));
    }

    private static HttpResult callTwice(ExtraBytes server) throws Exception {
        try (HttpCaller caller = HttpCaller.create(1)) {
            return caller.fetch(server.address(), HttpRequest.get("/first").within(TIMEOUTS))
                    .thenCompose(first -> caller.fetch(
                            server.address(), HttpRequest.get("/next").within(TIMEOUTS)))
                    .get(SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Guards against a beginning of one answer that runs on into the next, or a whole one that is taken for it. */
    @ParameterizedTest
    @MethodSource("cases")
    void theAnswerToTheNextCallIsTheRightOneOrNone(String framing, Arrival arrival) throws Exception {
        List<String> wrong = new ArrayList<>();
        int right = 0;
        try (ExtraBytes server = new ExtraBytes(framing, arrival)) {
            for (int bytes = 1; bytes <= server.firstLength(); bytes++) {
                server.beginWith(bytes);

                HttpResult next = callTwice(server);

                if (next instanceof HttpResult.Answered answered) {
                    boolean own = ExtraBytes.isNext(answered.status(), answered.body());
                    right += own ? 1 : 0;
                    if (!own) {
                        wrong.add(bytes + ": " + answered.status());
                    }
                }
            }
            assertThat(wrong).isEmpty();
            assertThat(arrival == Arrival.BEFORE_THE_NEXT || right > server.firstLength() / 2)
                    .isTrue();
        }
    }
}
