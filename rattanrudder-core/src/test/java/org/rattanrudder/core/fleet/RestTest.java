package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RestTest {
    private static final long NOW = 1_000_000;

    private final Rest rest = new Rest();

    @Test
    void aTargetThatHasAskedForNoneIsAdmitted() {
        rest.onReserved(NOW);

        assertThat(rest.admits(NOW)).isTrue();
    }

    /** Guards against answers that were under way, and end a rest that was asked for after they were written. */
    @ParameterizedTest
    @CsvSource({"-1500", "0", "1499"})
    void noAnswerEndsARest(long sentAfterMillis) {
        rest.onAsked(new RestNotice.Asked(1_500), NOW);

        rest.onAccepted(NOW + sentAfterMillis);

        assertThat(rest.lasts(NOW + 1_499)).isTrue();
        assertThat(rest.admits(NOW + 1_499)).isFalse();
        assertThat(rest.admits(NOW + 1_500)).isTrue();
    }

    @Test
    void aShorterRestThatIsNamedLaterDoesNotCutTheLongerOneShort() {
        rest.onAsked(new RestNotice.Asked(3_000), NOW);
        rest.onAsked(new RestNotice.Asked(500), NOW + 100);

        assertThat(rest.remainingMillis(NOW + 100)).isEqualTo(2_900);
    }

    /** Guards against one spoilt answer that takes a target away for a day. */
    @ParameterizedTest
    @CsvSource({"60001", "86400000", "9223372036854775807"})
    void aRestIsBounded(long asked) {
        rest.onAsked(new RestNotice.Asked(asked), NOW);

        assertThat(rest.remainingMillis(NOW)).isEqualTo(RestNotice.MAX_MILLIS);
    }

    /** Guards against a relay that returns with all its requests at once, as all other relays do then. */
    @Test
    void afterARestOneRequestTriesBeforeOthersFollow() {
        rest.onAsked(new RestNotice.Asked(1_000), NOW);
        long end = NOW + 1_000;
        assertThat(rest.admits(end)).isTrue();
        rest.onReserved(end);

        assertThat(rest.admits(end + 1)).isFalse();
        rest.onAccepted(end + 5);
        assertThat(rest.admits(end + 6)).isTrue();
        rest.onReserved(end + 6);
        assertThat(rest.admits(end + 6)).isTrue();
    }

    /** Guards against a request that ends without an answer and keeps its target out of use for good. */
    @Test
    void aTrialThatIsNotAnsweredLapses() {
        rest.onAsked(new RestNotice.Asked(1_000), NOW);
        long end = NOW + 1_000;
        rest.onReserved(end);

        assertThat(rest.admits(end + Rest.TRIAL_MILLIS - 1)).isFalse();
        assertThat(rest.admits(end + Rest.TRIAL_MILLIS)).isTrue();
        rest.onReserved(end + Rest.TRIAL_MILLIS);
        rest.onCancelled();
        assertThat(rest.admits(end + Rest.TRIAL_MILLIS)).isTrue();
    }

    /** Whatever is named, answered and cancelled, nothing is admitted before the last end that was named. */
    @Property(tries = 300)
    void nothingIsAdmittedBeforeTheLastEndNamed(
            @ForAll @Size(min = 1, max = 8) List<@LongRange(min = 1, max = 5_000) Long> asked,
            @ForAll @LongRange(min = 0, max = 20_000) long sentAfter) {
        Rest drawn = new Rest();
        long now = NOW;
        long end = 0;
        for (long millis : asked) {
            drawn.onAsked(new RestNotice.Asked(millis), now);
            end = Math.max(end, now + millis);
            now += millis / 3;
            drawn.onAccepted(Math.min(now, NOW + sentAfter));
            drawn.onReserved(now);
            drawn.onCancelled();
            assertThat(drawn.admits(now)).isEqualTo(now >= end);
        }
        assertThat(drawn.lasts(end - 1)).isTrue();
        assertThat(drawn.admits(end)).isTrue();
    }
}
