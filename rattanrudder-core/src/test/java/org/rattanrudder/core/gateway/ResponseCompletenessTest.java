package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class ResponseCompletenessTest {
    private static ResponseEnd end(String name) {
        return name.equals("declared") ? new ResponseEnd.Declared() : new ResponseEnd.ConnectionClosed();
    }

    @ParameterizedTest
    @CsvSource({
        "declared, OPAQUE, true",
        "declared, BEFORE_FIRST_EVENT, true",
        "declared, BETWEEN_EVENTS, true",
        "declared, WITHIN_EVENT, false",
        "connection, OPAQUE, true",
        "connection, BEFORE_FIRST_EVENT, false",
        "connection, BETWEEN_EVENTS, true",
        "connection, WITHIN_EVENT, false",
    })
    void whatEndedTheBodyAndWhereTellsWhetherItIsComplete(String end, BodyPosition position, boolean complete) {
        assertThat(ResponseCompleteness.reasonIncomplete(end(end), position).isEmpty())
                .isEqualTo(complete);
    }

    @ParameterizedTest
    @EnumSource(BodyPosition.class)
    void whatBrokeOffIsIncompleteWherever(BodyPosition position) {
        assertThat(ResponseCompleteness.reasonIncomplete(new ResponseEnd.BrokenOff("reset"), position))
                .contains("reset");
    }
}
