package org.rattanrudder.daemon.companion;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;

class EngineCallTest {
    private static final AttemptId ATTEMPT = new AttemptId(1, 2, 3);
    private static final List<Header> EVENT_STREAM = List.of(new Header("Content-Type", "text/event-stream"));
    private static final String DONE = "data: [DONE]\n\n";

    private final List<CompanionEvent> events = new ArrayList<>();

    private HttpCaller caller;

    @AfterEach
    void close() {
        if (caller != null) {
            caller.close();
        }
    }

    private EngineCall call(long from, boolean resumed) {
        EngineCall call = new EngineCall(ATTEMPT, from, resumed, events::add, () -> {});
        // What gives up a call needs one to give up.
        caller = HttpCaller.create(1);
        call.started(caller.call(new Address("127.0.0.1", 1), HttpRequest.get("/"), new Ignored()));
        return call;
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: {\"system_fingerprint\":\"v1\",\"n\":" + number + "}\n\n";
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the last event and the numbers of the chunks before it, such as {@code 0 1 TargetAnswerEnded}. */
    private String summary() {
        return events.stream()
                .filter(event -> !(event instanceof CompanionEvent.TargetAnswerStarted))
                .map(event -> event instanceof CompanionEvent.TargetChunk chunk
                        ? new String(chunk.bytes(), StandardCharsets.UTF_8)
                                .replaceAll("\\D*1\",\"n\":(\\d+)}\\s*", "$1")
                        : event.getClass().getSimpleName())
                .collect(Collectors.joining(" "));
    }

    /**
     * A caller's answer is garbled or stops. The network cuts the engine's stream anywhere, also within a character.
     */
    @Property(tries = 200, seed = "91")
    void streamIsTheSameHoweverItIsCut(@ForAll @Size(max = 12) List<@IntRange(min = 0, max = 200) Integer> cuts)
            throws IOException {
        byte[] stream = bytes("id: 0\r\ndata: {\"x\":\"\u017e\"}\r\n\r\n: comment\n\n" + event(1) + DONE);
        List<EngineEvent> whole = new EventStreamReader().add(stream);

        EventStreamReader reader = new EventStreamReader();
        List<EngineEvent> read = new ArrayList<>();
        int from = 0;
        for (int cut :
                cuts.stream().sorted().filter(cut -> cut <= stream.length).toList()) {
            read.addAll(reader.add(Arrays.copyOfRange(stream, from, cut)));
            from = cut;
        }
        read.addAll(reader.add(Arrays.copyOfRange(stream, from, stream.length)));

        assertThat(whole).hasSize(3);
        assertThat(read).usingRecursiveComparison().isEqualTo(whole);
    }

    /**
     * A caller takes half an answer for the whole, or sees a part twice or another's.
     * The engine's connection ends early; a resumed stream begins before or after where it was asked to.
     */
    @ParameterizedTest
    @CsvSource({
        "0, false, 0 1 D, 0 1 TargetAnswerEnded",
        "0, false, 0 1, 0 1 TargetFailed",
        "0, false, 0 2 D, 0 TargetFailed",
        "2, true, 2 3 D, 2 3 TargetAnswerEnded",
        "2, true, 0 1 2 3 D, 2 3 TargetAnswerEnded",
        "2, true, 4 D, TargetFailed"
    })
    void eachEventPassesOnceAndOnlyAMarkedEndIsAnEnd(long from, boolean resumed, String sent, String expected) {
        EngineCall call = call(from, resumed);
        call.head(200, EVENT_STREAM);
        for (String each : sent.split(" ")) {
            call.part(bytes(each.equals("D") ? DONE : event(Integer.parseInt(each))));
        }
        call.end(new ResponseEnd.Declared());

        assertThat(summary()).isEqualTo(expected);
    }

    @Test
    void engineThatForgotTheStreamFailsTheResume() {
        EngineCall call = call(2, true);

        call.head(404, List.of());

        assertThat(summary()).isEqualTo("TargetFailed");
    }

    @Test
    void refusalOfTheEnginePassesOnAsItIs() {
        EngineCall call = call(0, false);
        call.head(400, List.of(new Header("Content-Type", "application/json")));
        call.part(bytes("{\"error\":1}"));
        call.end(new ResponseEnd.Declared());

        assertThat(events)
                .usingRecursiveComparison()
                .isEqualTo(List.of(
                        new CompanionEvent.TargetAnswerStarted(
                                ATTEMPT, 400, List.of(new Header("Content-Type", "application/json"))),
                        new CompanionEvent.TargetChunk(ATTEMPT, bytes("{\"error\":1}"), ""),
                        new CompanionEvent.TargetAnswerEnded(ATTEMPT, Usage.NONE)));
    }

    /**
     * The companion's memory grows while a caller reads slowly.
     * The engine sends on; the window is used up. Cause: events passed on without regard to it.
     */
    @Test
    void eventsBeyondTheWindowWaitForItToBeWidened() {
        EngineCall call = call(0, false);
        call.head(200, EVENT_STREAM);
        StringBuilder stream = new StringBuilder();
        for (int number = 0; number < CompanionEffect.INITIAL_WINDOW_CHUNKS + 3; number++) {
            stream.append(event(number));
        }

        assertThat(call.part(bytes(stream + DONE))).isFalse();
        assertThat(events).hasSize(1 + CompanionEffect.INITIAL_WINDOW_CHUNKS);

        call.readMore(2);
        assertThat(call.resume()).isFalse();
        assertThat(events).hasSize(3 + CompanionEffect.INITIAL_WINDOW_CHUNKS);

        call.readMore(1);
        assertThat(call.resume()).isTrue();
        assertThat(events.get(events.size() - 1)).isInstanceOf(CompanionEvent.TargetAnswerEnded.class);
    }

    /**
     * A mine reads another mine's context, or its summaries go before an alarm.
     * A caller sets the fields by which the system scopes the cache and orders the queue. Cause: its body passed on.
     */
    @Test
    void callersFieldsCannotReplaceTheSystems() throws IOException {
        String body = "{\"model\":\"m\",\"cache_salt\":\"00\",\"priority\":-5,\"request_id\":\"other\","
                + "\"stream\":false,\"piece_tokens\":1,\"messages\":[{\"role\":\"u\"}]}";
        Digest salt = Digest.of("salt");
        Call call = new Call("POST", "/v1/chat/completions", List.of(), bytes(body));

        byte[] sent =
                EngineBody.of(new CompanionEffect.StartPrompt(ATTEMPT, new Address("h", 1), call, salt, 4, 2_000));

        assertThat(new String(sent, StandardCharsets.UTF_8))
                .isEqualTo("{\"request_id\":\"" + ATTEMPT + "\",\"cache_salt\":\"" + salt.toHex()
                        + "\",\"priority\":4,\"piece_tokens\":2000,\"stream\":true,"
                        + "\"stream_options\":{\"include_usage\":true},\"model\":\"m\","
                        + "\"messages\":[{\"role\":\"u\"}]}");
    }

    private static final class Ignored extends TargetCall {
        Ignored() {
            super(ATTEMPT, event -> {}, () -> {});
        }

        @Override
        public void head(int status, List<Header> headers) {}

        @Override
        public boolean part(byte[] bytes) {
            return true;
        }

        @Override
        public void end(ResponseEnd end) {}
    }
}
