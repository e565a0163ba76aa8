package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;
import org.rattanrudder.core.rollout.VersionQuestion.Answered;

class VersionExchangeTest {
    private static final long LIMIT = 15_000;

    private final DesiredVersions versions = new DesiredVersions();
    private final VersionExchange exchange = new VersionExchange(versions);

    @Test
    void relayAsksUntilItKnows() {
        versions.add("m", 3, 100);
        assertThat(exchange.next(LIMIT, 200).askedAt()).hasValue(200);

        versions.applyPeerTime("m", 3, 90, 300);
        assertThat(exchange.next(LIMIT, 300).askedAt()).isEmpty();
    }

    @Test
    void lastQuestionOfAPeerIsAnsweredForAsLongAsItMatters() {
        prove();
        exchange.onAsked("a", "a-1", 7, 100);
        exchange.onAsked("a", "a-2", 9, 200);

        assertThat(exchange.next(LIMIT, 300).answered()).containsExactly(new Answered("a-2", 9));
        assertThat(exchange.next(LIMIT, 200 + LIMIT).answered()).hasSize(1);
        assertThat(exchange.next(LIMIT, 201 + LIMIT).answered()).isEmpty();
    }

    /** Many relays that start together must not make reports longer than a message may be. */
    @Test
    void answersOfAReportAreBounded() {
        for (int relay = 0; relay < 300; relay++) {
            exchange.onAsked("r" + relay, "r" + relay + "-1", relay, relay);
        }
        assertThat(exchange.next(LIMIT, 400).answered()).isEmpty();

        prove();

        assertThat(exchange.next(LIMIT, 400).answered())
                .hasSize(VersionExchange.MAX_ANSWERED)
                .contains(new Answered("r299-1", 299));
    }

    /** An answer to a question that was never asked could make a version look younger than it is. */
    @ParameterizedTest
    @CsvSource({"149, 3", "150, 0", "200, 0", "201, 3", "-9223372036854775808, 3"})
    void answerCountsOnlyForATimeAtWhichThisRelayAsked(long askedAt, long oldest) {
        versions.add("m", 3, 100);
        exchange.next(LIMIT, 150);
        exchange.next(LIMIT, 200);

        exchange.onAnswered(askedAt, List.of(new KnownWeights("m", 3, 50)), 300);

        assertThat(versions.oldestAllowed("m", LIMIT, 300)).isEqualTo(oldest);
    }

    private void prove() {
        versions.onReadToEnd(50);
        versions.add("m", 3, 100);
    }
}
