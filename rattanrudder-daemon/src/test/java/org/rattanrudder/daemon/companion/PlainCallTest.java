package org.rattanrudder.daemon.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.wire.http.HttpAnswer;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;

class PlainCallTest {
    private static final AttemptId ATTEMPT = new AttemptId(1, 2, 3);

    /** Guards against half an event stream of a plain service that counts as its whole answer. */
    @ParameterizedTest
    @CsvSource({
        "text/event-stream, 'data: a\n\n', declared, true",
        "text/event-stream, 'data: a\n\n', connection, true",
        "text/event-stream; charset=utf-8, 'data: a\n\ndata: b', connection, false",
        "Text/Event-Stream, 'data: a\n', declared, false",
        "text/event-stream, ': alive\n', connection, false",
        "application/json, '{\"half\":', connection, true",
        "application/json, '{}', declared, true",
    })
    void anAnswerThatEndsInsideAnEventHasFailed(String type, String body, String ended, boolean complete) {
        List<CompanionEvent> events = new ArrayList<>();
        PlainCall call = new PlainCall(ATTEMPT, events::add, () -> {});
        try (HttpCaller caller = HttpCaller.create(1)) {
            // What gives up a call needs one to give up.
            call.started(caller.call(new Address("127.0.0.1", 1), HttpRequest.get("/"), new Ignored()));
            call.head(200, List.of(new Header("Content-Type", type)));
            call.part(body.replace("\\n", "\n").getBytes(StandardCharsets.UTF_8));

            call.end(ended.equals("declared") ? new ResponseEnd.Declared() : new ResponseEnd.ConnectionClosed());
        }

        assertThat(events.get(events.size() - 1))
                .isInstanceOf(complete ? CompanionEvent.TargetAnswerEnded.class : CompanionEvent.TargetFailed.class);
    }

    /** An answer that nobody looks at. */
    private static final class Ignored implements HttpAnswer {
        @Override
        public void head(int status, List<Header> headers) {}

        @Override
        public boolean part(byte[] bytes) {
            return true;
        }

        @Override
        public void end(ResponseEnd end) {}

        @Override
        public void failed(boolean nothingSent, String detail) {}
    }
}
