package org.rattanrudder.standins.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole days in virtual time, with the relays' own decisions. */
class ModelRunTest {
    private static final Path FILE = Path.of("../examples/model/shift-change.json");

    private static String text() throws IOException {
        return Files.readString(FILE);
    }

    /** The day of the example, shorter. */
    private static ModelDay day() throws IOException {
        return ModelDay.parse(text().replace("\"seconds\": 24", "\"seconds\": 9"));
    }

    @Test
    void aSeedGivesTheSameDayAgain() throws Exception {
        ModelReport first = ModelRun.play(day(), ModelPolicy.now(), 3);

        assertThat(ModelRun.play(day(), ModelPolicy.now(), 3)).isEqualTo(first);
        assertThat(ModelRun.play(day(), ModelPolicy.now(), 4)).isNotEqualTo(first);
        assertThat(first.asked()).isBetween(3_000, 5_000);
    }

    /**
     * A quarter of the engines loses power, and 27 relays fill the others together, since none knows what the others
     * have just sent: prompts were preempted, read again, and two of three came late.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void relaysThatTellAtOnceOverfillFewerEngines(long seed) throws Exception {
        ModelPolicy now = ModelPolicy.now();

        ModelReport atOnce = ModelRun.play(day(), now, seed);
        ModelPolicy before =
                ModelPolicy.change().nothingAtOnce().countedOnceConnected().named("before");
        ModelReport later = ModelRun.play(day(), before, seed);

        assertThat(atOnce.sentAbove()).isLessThan(later.sentAbove() / 2);
        assertThat(atOnce.onTime()).isGreaterThan(later.onTime());
    }

    /** Guards against messages to all relays with each request, and against saving them at the callers' expense. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void relaysThatShareFewEnginesServeAsManyWithHalfTheMessages(long seed) throws Exception {
        ModelDay large = ModelDay.parse(Files.readString(Path.of("../examples/model/five-depots.json"))
                .replace("\"seconds\": 20", "\"seconds\": 9"));
        ModelPolicy allShared =
                ModelPolicy.change().allTargetsShared().messages(400, 1).named("all shared");

        ModelReport shares = ModelRun.play(large, ModelPolicy.now(), seed);
        ModelReport all = ModelRun.play(large, allShared, seed);

        assertThat(shares.messages()).isLessThan(all.messages() / 2);
        assertThat(shares.onTime()).isGreaterThan(all.onTime() - 0.02);
        assertThat(shares.sentAbove()).isLessThanOrEqualTo(all.sentAbove());
    }

    /** Whatever is decided, nothing is lost: a request is served, refused, or runs into its deadline. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void whatIsCountedAddsUp(long seed) throws Exception {
        ModelReport report = ModelRun.play(day(), ModelPolicy.now(), seed);

        assertThat(report.onTime() + report.late() + report.refused()).isBetween(0.5, 1.0);
        assertThat(report.medianMillis()).isBetween(20L, 2_000L);
        assertThat(report.slowMillis()).isGreaterThanOrEqualTo(report.medianMillis());
        assertThat(report.readAgain()).isBetween(0.0, 1.0);
    }

    /** A calm day needs none of it: if it were served badly, the model would be wrong. */
    @Test
    void aCalmDayIsServedOnTime() throws Exception {
        ModelDay calm = ModelDay.parse(
                text().replace("\"seconds\": 24", "\"seconds\": 9").replace("\"share\": 0.25", "\"share\": 0"));
        ModelReport report = ModelRun.play(calm, ModelPolicy.now(), 5);

        assertThat(report.onTime()).isGreaterThan(0.9);
        assertThat(report.refused()).isLessThan(0.02);
    }

    /** Guards against overloaded engines that get more than their limit, and against leaving the limit unused. */
    @ParameterizedTest
    @CsvSource({"0.25, 1", "0.25, 2", "1, 1", "1, 2"})
    void relaysKeepWhatEnginesNameAndUseIt(double share, long seed) throws Exception {
        ModelDay limited = ModelDay.parse(Files.readString(Path.of("../examples/model/rate-limited-engines.json"))
                .replace("\"share\": 0.25", "\"share\": " + share));
        double allowed =
                limited.limited().requestsPerSecond() * limited.limited().forSeconds() * limited.engines() * share;

        ModelReport kept = ModelRun.play(limited, ModelPolicy.now(), seed);
        ModelReport passedOver =
                ModelRun.play(limited, ModelPolicy.change().limitsPassedOver().named("passed over"), seed);

        int most = (int) (1.5 * 4 * limited.limited().requestsPerSecond()) + 5;
        assertThat(kept.mostToLimitedEngine()).isLessThanOrEqualTo(most);
        assertThat(passedOver.mostToLimitedEngine()).isGreaterThan(most);
        assertThat((double) kept.limitedSends()).isBetween(0.6 * allowed, 1.2 * allowed);
    }

    @Test
    void theTableHasARowForEachWay() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ModelDay brief = ModelDay.parse(text().replace("\"seconds\": 24", "\"seconds\": 1"));
        ModelExperiment.print(new PrintStream(out, true, StandardCharsets.UTF_8), brief, 1);

        assertThat(out.toString(StandardCharsets.UTF_8).lines())
                .hasSize(2 + ModelExperiment.policies().size())
                .allMatch(line -> line.startsWith("| "));
    }

    @ParameterizedTest
    @CsvSource({
        "'\"relays\": 27', '\"relays\": 0', relays",
        "'\"relays\": 27,', '', relays",
        "'\"share\": 0.25', '\"share\": 1', dark.share",
        "'\"relays\": 27,', '\"relays\": 27, \"relais\": 3,', relais",
    })
    void aDayThatMakesNoSenseIsRefusedByName(String is, String becomes, String named) throws Exception {
        String wrong = text().replace(is, becomes);

        assertThatThrownBy(() -> ModelDay.parse(wrong)).hasMessageContaining(named);
    }

    /** Guards against requests that resting engines turn away again and again, and callers who pay for it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void enginesThatAskForRestTurnFewRequestsAway(long seed) throws IOException {
        ModelDay day = ModelDay.read(Path.of("../examples/model/resting-engines.json"));
        int times = (int) Math.ceil(day.resting().forSeconds() / day.resting().restSeconds());
        long resting = Math.round(day.engines() * day.resting().share());

        ModelReport heeded = ModelRun.play(day, ModelPolicy.now(), seed);
        ModelReport passedOver = ModelRun.play(
                day, ModelPolicy.change().rest(ModelPolicy.RestWay.PASSED_OVER).named("passed over"), seed);

        // Each relay is told once before each rest; some have a second request under way then.
        assertThat((long) heeded.turnedAway()).isLessThanOrEqualTo(2L * day.relays() * times * resting);
        assertThat(heeded.turnedAway()).isLessThan(passedOver.turnedAway());
        assertThat(heeded.onTime()).isGreaterThan(0.98);
    }
}
