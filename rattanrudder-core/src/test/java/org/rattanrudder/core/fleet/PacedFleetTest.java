package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.fleet.PacedFleet.Result;
import org.rattanrudder.core.fleet.PacedFleet.Way;

/** Guards against relays that all send to the target whose report was the best. */
class PacedFleetTest {
    private static final double CHANGE_MILLIS = 600;
    private static final double UTILISATION = 0.8;
    private static final double NEVER_FADES = 1e12;
    private static final int SEEDS = 3;

    private static Result mean(int relays, Way way) {
        List<Result> results = LongStream.range(0, SEEDS)
                .mapToObj(seed -> new PacedFleet(relays, way, CHANGE_MILLIS, UTILISATION, seed).run())
                .toList();
        return new Result(
                results.stream().mapToDouble(Result::p50).average().orElseThrow(),
                results.stream().mapToDouble(Result::p99).average().orElseThrow(),
                results.stream().mapToDouble(Result::largestShare).average().orElseThrow());
    }

    /** The worst case for herding: all relays hear all reports, so that all of them know the same. */
    @ParameterizedTest
    @ValueSource(ints = {20, 300})
    void relaysThatHearTheSameReportsSpreadOverTheTargets(int relays) {
        Result asReported = mean(relays, new Way(true, NEVER_FADES, true, false));
        Result faded = mean(relays, new Way(true, ReportedPace.USUAL_FADE_MILLIS, true, true));
        Result unpaced = mean(relays, new Way(false, ReportedPace.USUAL_FADE_MILLIS, true, true));

        assertThat(faded.p50()).isLessThan(asReported.p50() / 2);
        assertThat(faded.p99()).isLessThan(asReported.p99() / 1.5);
        assertThat(faded.largestShare()).isLessThan(unpaced.largestShare() + 0.03);
    }

    /** Each relay hears of the targets that have answered it, as relays do. */
    @ParameterizedTest
    @ValueSource(ints = {20, 300})
    void callersWaitNoLongerWhereTargetsReportTheirPace(int relays) {
        Result faded = mean(relays, new Way(true, ReportedPace.USUAL_FADE_MILLIS, false, true));
        Result unpaced = mean(relays, new Way(false, ReportedPace.USUAL_FADE_MILLIS, false, true));

        assertThat(faded.p50()).isLessThanOrEqualTo(unpaced.p50());
        assertThat(faded.p99()).isLessThan(unpaced.p99());
        assertThat(faded.largestShare()).isLessThan(unpaced.largestShare() + 0.01);
    }
}
