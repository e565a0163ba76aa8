package org.rattanrudder.daemon.relay.streams;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.EventStreamScanner;

class EventFramerTest {
    private static final List<String> EVENTS =
            List.of("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: cc\n\n");
    private static final String STREAM = String.join("", EVENTS);

    /**
     * An engine crashes in the middle of an event. If the partial event were forwarded, the engine that resumes the
     * stream would send it again, complete.
     */
    @Property
    void onlyCompleteEventsAreForwardedHoweverTheStreamIsSplit(
            @ForAll @Size(max = 12) List<@IntRange(max = 44) Integer> cuts, @ForAll @IntRange(max = 44) int end) {
        EventStreamScanner scanner = new EventStreamScanner();
        EventFramer framer = new EventFramer(scanner);
        StringBuilder passed = new StringBuilder();
        int from = 0;
        for (int cut : cuts.stream().sorted().filter(cut -> cut < end).collect(Collectors.toList())) {
            passed.append(take(framer, STREAM.substring(from, Math.min(cut, STREAM.length()))));
            from = Math.min(cut, STREAM.length());
        }
        int last = Math.min(end, STREAM.length());
        passed.append(take(framer, STREAM.substring(Math.min(from, last), last)));

        int whole = 0;
        int length = 0;
        while (whole < EVENTS.size() && length + EVENTS.get(whole).length() <= last) {
            length += EVENTS.get(whole++).length();
        }
        assertThat(passed.toString()).isEqualTo(STREAM.substring(0, length));
        assertThat(framer.lastId().map(Integer::parseInt).orElse(0)).isEqualTo(whole);
        assertThat(scanner.isWithinEvent()).isEqualTo(last > length);
    }

    @ParameterizedTest
    @CsvSource({"'id: 7\\r\\ndata: x\\r\\n\\r\\n', 7", "'data: x\\n\\n', ", "'id:8\\n\\n', 8"})
    void lastIdIsThatOfTheLastCompleteEvent(String stream, String expected) {
        EventFramer framer = new EventFramer(new EventStreamScanner());

        take(framer, stream.replace("\\r", "\r").replace("\\n", "\n"));

        assertThat(framer.lastId().orElse(null)).isEqualTo(expected);
    }

    /**
     * Guards against a resumed stream that repeats, drops or mixes events, wherever the first one was cut and whatever
     * its lines end with.
     */
    @Property
    void aResumedStreamContinuesAfterTheLastForwardedEvent(
            @ForAll("lineEnds") String lineEnd,
            @ForAll @IntRange(max = 60) int cut,
            @ForAll @IntRange(min = 1, max = 60) int size) {
        String stream = STREAM.replace("\n", lineEnd);
        EventFramer framer = new EventFramer(new EventStreamScanner());
        String first = stream.substring(0, Math.min(cut, stream.length()));
        StringBuilder passed = new StringBuilder();
        for (int from = 0; from < first.length(); from += size) {
            passed.append(take(framer, first.substring(from, Math.min(first.length(), from + size))));
        }
        framer.restart();
        int done = framer.lastId().map(Integer::parseInt).orElse(0);
        EVENTS.stream().skip(done).forEach(event -> passed.append(take(framer, event.replace("\n", lineEnd))));

        assertThat(framer.isResumable()).isTrue();
        assertThat(passed.toString()).isEqualTo(stream);
    }

    @Provide
    Arbitrary<String> lineEnds() {
        return Arbitraries.of("\n", "\r\n", "\r");
    }

    /** Guards against an event of any length that is held in memory, and against joining another stream to its part. */
    @Test
    void aLongEventIsForwardedInPartsAndTheStreamIsNotResumableWithinIt() {
        EventFramer framer = new EventFramer(new EventStreamScanner());
        String begin = "id: 1\ndata: " + "x".repeat(EventFramer.MAX_EVENT_BYTES);

        assertThat(take(framer, begin)).isEqualTo(begin);
        assertThat(take(framer, "xx")).isEqualTo("xx");
        assertThat(framer.isResumable()).isFalse();
        assertThat(take(framer, "x\n\nid: 2\n")).isEqualTo("x\n\n");
        assertThat(framer.isResumable()).isTrue();
        assertThat(framer.lastId()).contains("1");
    }

    private static String take(EventFramer framer, String chunk) {
        byte[] whole = framer.append(Unpooled.wrappedBuffer(chunk.getBytes(StandardCharsets.ISO_8859_1)));
        return new String(Arrays.copyOf(whole, whole.length), StandardCharsets.ISO_8859_1);
    }
}
