package org.rattanrudder.wire.http;

import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/** The ways in which an answer's body can end, each with a connection that ends in order and one that is reset. */
public final class AnswerFramings {
    private AnswerFramings() {}

    /** Returns the framing and whether the connection is reset. */
    public static Stream<Arguments> withEnds() {
        return Stream.of("length", "chunks", "connection")
                .flatMap(framing -> Stream.of(false, true).map(reset -> Arguments.of(framing, reset)));
    }
}
