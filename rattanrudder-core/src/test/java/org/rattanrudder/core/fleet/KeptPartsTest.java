package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.RelayLoad.PromptRead;
import org.rattanrudder.core.fleet.RelayLoad.ReadTo;
import org.rattanrudder.core.gateway.EngineTraits;

class KeptPartsTest {
    private static final long NOW = 5_000;
    private static final long CAPACITY = 20_000;
    private static final KeptPart SHEET = new KeptPart(1, 2_000);
    private static final KeptPart RECORD = new KeptPart(2, 9_000);
    private static final KeptPart OWN = new KeptPart(3, 1_000);
    private static final List<KeptPart> PROMPT = List.of(SHEET, RECORD, OWN);

    private final Target target = PlacementTest.target("i-1", "north", 1);

    @Test
    void onlyTheFirstPartsUpToOneThatIsMissingNeedNoReading() {
        assertThat(target.heldTokens(PROMPT, CAPACITY)).isZero();

        target.reads(List.of(SHEET, OWN));
        assertThat(target.heldTokens(PROMPT, CAPACITY)).isEqualTo(2_000);

        target.reads(List.of(SHEET, RECORD));
        assertThat(target.heldTokens(PROMPT, CAPACITY)).isEqualTo(12_000);
    }

    /** An engine is taken to hold a record that it had to drop for others; its callers wait while it is read again. */
    @Test
    void whatWasUsedTheLongestAgoIsTakenForDropped() {
        target.reads(PROMPT);
        target.reads(List.of(new KeptPart(9, 8_000)));

        assertThat(target.heldTokens(List.of(new KeptPart(9, 8_000)), CAPACITY)).isEqualTo(8_000);
        assertThat(target.heldTokens(PROMPT, CAPACITY)).isZero();
    }

    @Test
    void aPartThatIsUsedAgainStays() {
        target.reads(PROMPT);
        target.reads(List.of(new KeptPart(8, 3_000)));
        target.reads(List.of(SHEET, RECORD));
        target.reads(List.of(new KeptPart(9, 2_000)));

        assertThat(target.heldTokens(PROMPT, CAPACITY)).isEqualTo(11_000);
    }

    /** An engine loads new weights and drops all that it held; a context is sent there as if nothing had happened. */
    @Test
    void newWeightsEmptyAnEnginesMemory() {
        target.reads(PROMPT);

        target.confirmWeights("m", 2, NOW);

        assertThat(target.heldTokens(PROMPT, CAPACITY)).isZero();
    }

    /** The number of parts that are remembered is bounded, however small they are. */
    @Test
    void oldPartsAreForgottenWhereManySmallOnesCome() {
        target.reads(PROMPT);
        for (int number = 0; number < 1_000; number++) {
            target.reads(List.of(new KeptPart(100 + number, 1)));
        }

        assertThat(target.heldTokens(PROMPT, CAPACITY)).isZero();
    }

    /**
     * Two clerks ask about one record within a second, at two relays. The second engine would read all of it anew,
     * since no store holds it yet: the second relay hears where the first one sent it, and sends its request there.
     */
    @Test
    void aPromptGoesWhereAnotherRelayHasSentItsContext() {
        Fleet fleet = new Fleet();
        fleet.logAnswers(0);
        fleet.apply("i-1", Optional.of(FleetTest.entry("i-1", false)), 1, NOW);
        fleet.apply("i-2", Optional.of(FleetTest.entry("i-2", false)), 2, NOW);
        RelayLoad news = RelayLoad.ofWork(
                "other", 1, false, List.of(new RelayLoad.TargetLoad("i-2", 1, 12_000, 12_000)), true, new ReadTo(0, 0));

        fleet.heard(news.withReads(List.of(new PromptRead("i-2", PROMPT))), NOW);

        PromptSaving saving = each -> each.heldTokens(PROMPT, 60_000) / 48.0;
        assertThat(chosen(fleet, PromptSaving.NONE)).isEqualTo("i-1");
        assertThat(chosen(fleet, saving)).isEqualTo("i-2");
    }

    private static String chosen(Fleet fleet, PromptSaving saving) {
        PlacementQuery query = new PlacementQuery(
                "llm",
                "north",
                Optional.of(new EngineTraits(64, 60_000, 18_432, 180_000)),
                Optional.of("m"),
                0,
                0,
                9_000,
                0,
                0,
                0,
                600,
                saving,
                Set.of());
        return Placement.choose(fleet.of("llm", NOW), query, NOW)
                .orElseThrow()
                .target()
                .id();
    }
}
