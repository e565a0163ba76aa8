package org.rattanrudder.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.rattanrudder.core.quarantine.QuarantineModel.Mix;
import org.rattanrudder.core.quarantine.QuarantineModel.Result;

/**
 * Guards against a part that all requests share and that is refused in place of several rarer causes, one in each
 * request that crashed a target.
 */
class QuarantineCausesTest {
    private static final int MOST_SENDS = 3;
    private static final double MOST_SOUND_REFUSED = 0.5;
    private static final int SECONDS = 40;
    private static final int SOUND_AFTER_MILLIS = 12_000;
    private static final int SEEDS = Integer.getInteger("seeds", 3);

    /** One customer, one first part, and causes that come in turn. */
    private static Mix mix(int relays, int targets, int perSecond, int causes, double causePerSecond, long soundFrom) {
        return new Mix(relays, targets, perSecond, causes, causePerSecond, 1, 0, 1, 0, 0, SECONDS, 1, soundFrom, true);
    }

    static Stream<Arguments> mixes() {
        return IntStream.rangeClosed(1, 3)
                .boxed()
                .flatMap(causes -> Stream.of(
                        Arguments.of(causes + " among sound", mix(2, 12, 20, causes, 2.5, 0)),
                        Arguments.of(causes + " before sound", mix(2, 12, 20, causes, 2.5, SOUND_AFTER_MILLIS)),
                        Arguments.of(causes + " seldom, among sound", mix(6, 12, 20, causes, 0.5, 0)),
                        Arguments.of(
                                causes + " seldom, before sound", mix(6, 12, 20, causes, 0.5, SOUND_AFTER_MILLIS))));
    }

    @ParameterizedTest
    @MethodSource("mixes")
    void bothRulesHoldOverMixes(String name, Mix mix) {
        int sent = 0;
        double refused = 0;
        int crashes = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            Result result = new QuarantineModel(mix, seed).play();
            sent = Math.max(sent, result.sentAfter());
            crashes = Math.max(crashes, result.crashes());
            refused = Math.max(refused, soundRefused(result));
        }
        System.out.printf(
                "%-28s sent after fifth crash %d, crashes %d, sound refused %.4f%n", name, sent, crashes, refused);

        assertThat(sent).isLessThanOrEqualTo(MOST_SENDS);
        assertThat(refused).isLessThanOrEqualTo(MOST_SOUND_REFUSED);
    }

    @Property(tries = 60, seed = "57")
    void bothRulesHoldForSeveralCausesUnderOneFirstPart(
            @ForAll @IntRange(min = 1, max = 6) int relays,
            @ForAll @IntRange(min = 8, max = 20) int targets,
            @ForAll @IntRange(min = 5, max = 40) int perSecond,
            @ForAll @IntRange(min = 1, max = 3) int causes,
            @ForAll @DoubleRange(min = 0.3, max = 4) double causePerSecond,
            @ForAll boolean soundBetween,
            @ForAll long seed) {
        long soundFrom = soundBetween ? 0 : SOUND_AFTER_MILLIS;

        Result result =
                new QuarantineModel(mix(relays, targets, perSecond, causes, causePerSecond, soundFrom), seed).play();

        assertThat(result.sentAfter()).isLessThanOrEqualTo(MOST_SENDS);
        assertThat(soundRefused(result)).isLessThanOrEqualTo(MOST_SOUND_REFUSED);
    }

    private static double soundRefused(Result result) {
        return (double) result.soundRefused() / result.sound();
    }
}
