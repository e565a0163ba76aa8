package org.rattanrudder.core.topics;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.topics.LogEra.Answer;

class LogEraTest {
    private final LogEra era = new LogEra();

    private static OptionalLong named(String era) {
        return era == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(era));
    }

    /** Guards against answers that are believed though the log has come back since, or not though it hasn't. */
    @ParameterizedTest
    @CsvSource({
        "3, 3, CURRENT, 3",
        "3, 4, NEWER, 4",
        "3, 9, NEWER, 9",
        "3, 2, OLDER, 3",
        "3, , CURRENT, 3",
        ", , CURRENT, 0",
        ", 1, NEWER, 1",
    })
    void anAnswerIsComparedWithTheNewestEraThatWasNamed(String first, String next, Answer expected, long current) {
        assertThat(era.observe(named(first), 0)).isEqualTo(Answer.CURRENT);

        assertThat(era.observe(named(next), 1)).isEqualTo(expected);

        assertThat(era.current()).isEqualTo(current);
    }

    /** Guards against a read that shows nothing newer since what was lost hasn't been written again yet. */
    @Test
    void noReadIsProofSoonAfterAReturnNorByAnAnswerOfAnyEra() {
        era.observe(named("1"), 0);
        assertThat(era.isProof(named("1"), 0)).isTrue();

        era.observe(named("2"), 10_000);

        assertThat(era.isProof(named("2"), 10_000 + LogEra.REWRITE_MILLIS - 1)).isFalse();
        assertThat(era.isProof(named("2"), 10_000 + LogEra.REWRITE_MILLIS)).isTrue();
        assertThat(era.isProof(named(null), 10_000 + LogEra.REWRITE_MILLIS)).isFalse();
    }

    /** Guards against a second return that counts as over with the first. */
    @Test
    void eachReturnBeginsTheTimeAnew() {
        era.observe(named("1"), 0);
        era.observe(named("2"), 1_000);
        era.observe(named("3"), 3_000);

        assertThat(era.isProof(named("3"), 1_000 + LogEra.REWRITE_MILLIS)).isFalse();
        assertThat(era.isProof(named("3"), 3_000 + LogEra.REWRITE_MILLIS)).isTrue();
    }
}
