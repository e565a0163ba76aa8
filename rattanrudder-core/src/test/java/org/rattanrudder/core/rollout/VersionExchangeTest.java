package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
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
    void lastQuestionOfAPeerIsAnsweredForAWhile() {
        exchange.onAsked("a", 7, 100);
        exchange.onAsked("a", 9, 200);

        assertThat(exchange.next(LIMIT, 300).answered()).containsExactly(new Answered("a", 9));
        assertThat(exchange.next(LIMIT, 2_200).answered()).hasSize(1);
        assertThat(exchange.next(LIMIT, 2_201).answered()).isEmpty();
    }
}
