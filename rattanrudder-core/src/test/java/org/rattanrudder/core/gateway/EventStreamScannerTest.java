package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventStreamScannerTest {
    private final EventStreamScanner scanner = new EventStreamScanner();

    private static String unescaped(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    private static void read(EventStreamScanner scanner, byte[] bytes) {
        for (byte each : bytes) {
            scanner.accept(each);
        }
    }

    private void read(String text) {
        read(scanner, unescaped(text).getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource({
        "'', BEFORE_FIRST_EVENT",
        "'\\n\\n', BEFORE_FIRST_EVENT",
        "': alive\\n', BEFORE_FIRST_EVENT",
        "': ali', WITHIN_EVENT",
        "'d', WITHIN_EVENT",
        "'data: a\\n', WITHIN_EVENT",
        "'data: a\\n\\n', BETWEEN_EVENTS",
        "'data: a\\n\\n\\n', BETWEEN_EVENTS",
        "'data: a\\n\\n: alive\\n', BETWEEN_EVENTS",
        "'data: a\\n: alive\\n', WITHIN_EVENT",
        "'data: a\\r\\r', BETWEEN_EVENTS",
        "'data: a\\r\\n\\r\\n', BETWEEN_EVENTS",
        "'data: a\\n\\r\\n', BETWEEN_EVENTS",
        "'data: a\\r\\n\\n', BETWEEN_EVENTS",
        "'data: a\\r\\n\\r', WITHIN_EVENT",
        "'data: a\\r\\n\\rdata: b\\r\\n', WITHIN_EVENT",
        "'data: a\\n\\nretry: 10', WITHIN_EVENT",
        "'data: a\\n\\nretry: 10\\n', WITHIN_EVENT",
    })
    void positionIsWithinAnEventUntilItsEmptyLine(String stream, BodyPosition expected) {
        read(stream);

        assertThat(scanner.position()).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "'id: 7\\ndata: a\\n\\n', 7, true",
        "'id:7\\r\\ndata: a\\r\\n\\r\\nid: 8\\r\\nda', 7, true",
        "'id: 7\\rdata: a\\r\\r', 7, true",
        "'data: a\\nid: 7\\n\\n', 7, true",
        "'id: 6\\nid: 7\\ndata: a\\n\\n', 7, true",
        "'id: 7\\ndata: a\\n\\n: alive\\n\\n', 7, true",
        "'id: 7\\ndata: a\\n\\nevent: ping\\n\\n', 7, true",
        "'id: 7\\ndata: a\\n\\ndata: b\\n\\n', 7, false",
        "'id: 7\\ndata: a\\n\\ndata: b\\n\\nid: 9\\ndata: c\\n\\n', 9, true",
        "'id: 7\\ndata: a\\n\\nid\\ndata: b\\n\\n', 7, false",
        "'idle: 7\\ndatabase: 8\\n\\n', , true",
        "'data: a\\n\\n', , false",
        "': alive\\n', , true",
    })
    void streamIsResumableAfterTheLastEventIfThatHasAnId(String stream, String id, boolean resumable) {
        read(stream);

        assertThat(scanner.lastId().orElse(null)).isEqualTo(id);
        assertThat(scanner.isResumable()).isEqualTo(resumable);
    }

    /** Guards against an ID that can't be sent in a header, or of any length, of which the stream would be resumed. */
    @Test
    void anIdThatNoHeaderCanHoldDoesNotMakeAStreamResumable() {
        read("id: 1\ndata: a\n\nid: 2\u0001\ndata: b\n\n");
        assertThat(scanner.isResumable()).isFalse();

        read("id: 3\ndata: c\n\nid: " + "4".repeat(EventStreamScanner.MAX_ID_BYTES + 1) + "\ndata: d\n\n");
        assertThat(scanner.isResumable()).isFalse();
        assertThat(scanner.lastId()).contains("3");
    }

    @Test
    void anIdThatIsNotAsciiIsKeptByteForByte() {
        read("id: ж\ndata: a\n\n");

        assertThat(scanner.lastId().orElseThrow().getBytes(StandardCharsets.ISO_8859_1))
                .isEqualTo("ж".getBytes(StandardCharsets.UTF_8));
        assertThat(scanner.isResumable()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, BEFORE_FIRST_EVENT", "1, WITHIN_EVENT", "2, WITHIN_EVENT", "3, BEFORE_FIRST_EVENT"})
    void aByteOrderMarkBelongsToNoEvent(int bytes, BodyPosition expected) {
        byte[] mark = "\uFEFF".getBytes(StandardCharsets.UTF_8);
        read(scanner, Arrays.copyOf(mark, bytes));

        assertThat(scanner.position()).isEqualTo(expected);
    }

    @Test
    void anotherResponseGoesOnAfterTheLastCompleteEvent() {
        read("id: 1\ndata: a\n\nid: 2\nda");

        scanner.restart();

        assertThat(scanner.position()).isEqualTo(BodyPosition.BEFORE_FIRST_EVENT);
        assertThat(scanner.lastId()).contains("1");
        read("id: 2\ndata: b\n\n");
        assertThat(scanner.lastId()).contains("2");
    }

    /** Guards against a cut that isn't seen, or a whole stream taken for cut, at any byte and with any line ends. */
    @Property
    void theStreamIsBetweenEventsOnlyBehindTheEmptyLineOfOne(@ForAll("events") List<String> events) {
        StringBuilder stream = new StringBuilder();
        for (String event : events) {
            stream.append(event);
            for (int cut = stream.length() - event.length() + 1; cut < stream.length(); cut++) {
                EventStreamScanner partial = new EventStreamScanner();
                read(partial, stream.substring(0, cut).getBytes(StandardCharsets.ISO_8859_1));
                assertThat(partial.position()).as("cut at %d", cut).isEqualTo(BodyPosition.WITHIN_EVENT);
            }
            EventStreamScanner whole = new EventStreamScanner();
            read(whole, stream.toString().getBytes(StandardCharsets.ISO_8859_1));
            assertThat(whole.position()).isEqualTo(BodyPosition.BETWEEN_EVENTS);
        }
    }

    /** Streams of events, all with the same line ends, with any other bytes in their fields. */
    @Provide
    Arbitrary<List<String>> events() {
        Arbitrary<String> lineEnds = Arbitraries.of("\n", "\r\n", "\r");
        Arbitrary<String> text = Arbitraries.strings()
                .withCharRange('\0', '\u00FF')
                .excludeChars('\n', '\r')
                .ofMaxLength(8);
        Arbitrary<List<String>> texts = text.list().ofMinSize(1).ofMaxSize(4);
        return lineEnds.flatMap(end -> texts.map(each -> each.stream()
                .map(value -> "id: 1" + end + "data: " + value + end + end)
                .collect(Collectors.toList())));
    }
}
