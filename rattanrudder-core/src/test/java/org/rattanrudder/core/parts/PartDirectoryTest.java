package org.rattanrudder.core.parts;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.gateway.CustomerIdentity;
import org.rattanrudder.core.gateway.PromptPart;
import org.rattanrudder.core.model.Address;

class PartDirectoryTest {
    private static final PartAccess BOTH = PartAccess.FETCH_AND_SAVE;
    private static final Address STORE = new Address("10.0.0.9", 80);
    private static final List<PromptPart> PROMPT =
            List.of(new PromptPart("sheet", 2_500), new PromptPart("record", 5_000), new PromptPart("own", 1_600));
    private static final Predicate<String> ANY_DOMAIN = domain -> true;
    private static final long OBJECTIVE = 1_000;
    private static final long BEGIN = 1_000_000;
    private static final long SETTLED = BEGIN + PartDirectory.SETTLED_MILLIS;

    private final PartDirectory directory = new PartDirectory();

    @BeforeEach
    void oneStore() {
        directory.configure(List.of(new ContextStore("vault", STORE, "north", 100_000, 58_000, 6, true)));
        directory.applyStoreUpdate(STORE, update(1), BEGIN, BEGIN);
    }

    @Test
    void partIsFetchedOnceCompleteAndSavedOnlyOnce() {
        directory.applyStoreUpdate(STORE, update(1), SETTLED, SETTLED);
        PartPlan first = directory.plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED);
        assertThat(first.saves()).isTrue();
        assertThat(first.reads()).isFalse();
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED + 5)
                        .saves())
                .isFalse();

        directory.applyStoreUpdate(STORE, update(1, held("w1", "sheet", 2_500)), SETTLED + 300, SETTLED + 300);
        PartPlan second =
                directory.plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED + 310);
        assertThat(second.sources())
                .containsExactly(Optional.of(new PartPlan.Source(STORE, 2_500)), Optional.empty(), Optional.empty());
    }

    /** The reason for each recomputed part is logged, so that the logs show which of them were avoidable. */
    @Test
    void planHasChoiceForEachSharedPart() {
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, BEGIN)
                        .choices())
                .containsExactly(PartChoice.UNSETTLED, PartChoice.UNSETTLED);

        directory.applyStoreUpdate(STORE, update(1, held("w1", "sheet", 2_500)), SETTLED, SETTLED);
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED)
                        .choices())
                .containsExactly(PartChoice.FETCHED, PartChoice.SAVED);
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED)
                        .choices())
                .containsExactly(PartChoice.FETCHED, PartChoice.BEING_SAVED);
        assertThat(directory
                        .plan(
                                "w1",
                                PROMPT,
                                "north",
                                BOTH,
                                OBJECTIVE,
                                Optional.empty(),
                                ANY_DOMAIN,
                                SETTLED + PartDirectory.FRESH_MILLIS + 1)
                        .choices())
                .containsExactly(PartChoice.NO_STORE, PartChoice.BEING_SAVED);

        directory.applyStoreUpdate(STORE, update(1, held("w1", "all", 95_000)), SETTLED, SETTLED);
        assertThat(directory
                        .plan("w2", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED)
                        .choices())
                .containsExactly(PartChoice.NO_ROOM, PartChoice.NO_ROOM);

        directory.recordFetchLateness(new StoreLateness(STORE, 200, 9_000), SETTLED);
        directory.plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED);
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED)
                        .choices()
                        .get(0))
                .isEqualTo(PartChoice.SLOW_STORE);
    }

    /** Guards against context that is kept in a region which its route or customer doesn't allow. */
    @ParameterizedTest
    @CsvSource({"north, true", "south, false"})
    void partIsSavedOnlyInAllowedDomain(String allowed, boolean saved) {
        directory.applyStoreUpdate(STORE, update(1), SETTLED, SETTLED);

        PartPlan plan =
                directory.plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), allowed::equals, SETTLED);

        assertThat(plan.saves()).isEqualTo(saved);
    }

    /** Weights are being replaced: parts saved under the old ones would take space that the new ones need. */
    @Test
    void nothingIsSavedUnderReplacedWeights() {
        directory.applyStoreUpdate(STORE, update(1, held("w1", "sheet", 2_500)), SETTLED, SETTLED);

        PartPlan plan = directory.plan(
                "w1", PROMPT, "north", PartAccess.FETCH_ONLY, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED);

        assertThat(plan.saves()).isFalse();
        assertThat(plan.choices()).containsExactly(PartChoice.FETCHED, PartChoice.REPLACED);
    }

    /** Guards against engines that wait for a slow store until their callers have left. */
    @ParameterizedTest
    @CsvSource({"60, 1000", "500, 1000", "700, 1400", "1000, 2000", "5000, 2000"})
    void fetchTimeoutFollowsObjective(long objective, long fetchMillis) {
        directory.applyStoreUpdate(STORE, update(1, held("w1", "sheet", 2_500)), SETTLED, SETTLED);

        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, objective, Optional.empty(), ANY_DOMAIN, SETTLED + 100)
                        .untilMillis())
                .hasValue(SETTLED + 100 + fetchMillis);
    }

    /** Parts are evicted some time after the last fetch of them was planned: no fetch may take longer. */
    @Test
    void fetchEndsWithinBoundedTimeOfItsRequest() {
        directory.applyStoreUpdate(STORE, update(1, held("w1", "sheet", 2_500)), SETTLED, SETTLED);

        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED + 700)
                        .untilMillis())
                .hasValue(SETTLED + 700 + PartDirectory.FETCH_AFTER_SENT_MILLIS);
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED + 2_300)
                        .untilMillis())
                .hasValue(SETTLED + PartDirectory.FETCH_AFTER_UPDATE_MILLIS);
    }

    @Test
    void unsharedPartIsNotSaved() {
        directory.applyStoreUpdate(STORE, update(1), SETTLED, SETTLED);

        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED)
                        .destinations()
                        .get(2))
                .isEmpty();
    }

    /**
     * A store crashes and returns empty. One relay saves a part there anew; another one, which has no update since the
     * restart, would let an engine fetch the partially written part and compute a response from an incomplete prompt.
     */
    @Test
    void fetchFromOldIncarnationEndsBeforeFirstSaveToNewOne() {
        directory.applyStoreUpdate(STORE, update(1, held("w1", "record", 5_000)), SETTLED, SETTLED);
        PartDirectory other = new PartDirectory();
        other.configure(List.of(new ContextStore("vault", STORE, "north", 100_000, 58_000, 6, true)));
        long restart = SETTLED + 1;
        other.applyStoreUpdate(STORE, update(2), restart, restart);

        long lastUse = SETTLED + PartDirectory.FRESH_MILLIS;
        PartPlan latest = directory.plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, lastUse);
        assertThat(latest.reads()).isTrue();
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, lastUse + 1)
                        .reads())
                .isFalse();

        long firstSave = restart + PartDirectory.SETTLED_MILLIS;
        other.applyStoreUpdate(STORE, update(2), firstSave - 1, firstSave - 1);
        assertThat(other.plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, firstSave - 1)
                        .saves())
                .isFalse();
        assertThat(other.plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, firstSave)
                        .saves())
                .isTrue();
        assertThat(latest.untilMillis().orElseThrow()).isLessThan(firstSave);
    }

    /**
     * A store's link becomes slow and fetches queue on it for seconds. Every request with a part there would wait,
     * although the engines are idle.
     */
    @Test
    void slowStoreGetsFewFetchesUntilItRecovers() {
        directory.applyStoreUpdate(STORE, update(1, held("w1", "record", 5_000)), SETTLED, SETTLED);
        directory.recordFetchLateness(new StoreLateness(STORE, 60, 1_900), SETTLED);

        assertThat(reads(100, SETTLED)).isBetween(1, 10);
        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED)
                        .destinations()
                        .get(1))
                .isEmpty();

        long recovered = SETTLED + 9_000;
        directory.applyStoreUpdate(STORE, update(1), recovered, recovered);
        assertThat(reads(100, recovered)).isEqualTo(100);
    }

    /** Half of a slow store's prompts suffice to keep its link busy: the others must not wait for it. */
    @Test
    void shareOfFetchesFallsWithLateness() {
        directory.applyStoreUpdate(STORE, update(1, held("w1", "record", 5_000)), SETTLED, SETTLED);
        directory.recordFetchLateness(new StoreLateness(STORE, 200, 230), SETTLED);

        assertThat(reads(100, SETTLED)).isBetween(45, 55);
    }

    /** All engines are busy, so that every response is late: this must not count against any store. */
    @Test
    void latenessCommonToAllStoresIsIgnored() {
        Address second = new Address("10.0.0.8", 80);
        Address third = new Address("10.0.0.9", 80);
        directory.configure(List.of(
                new ContextStore("vault", STORE, "north", 100_000, 58_000, 6, true),
                new ContextStore("vault", second, "north", 100_000, 58_000, 6, true),
                new ContextStore("vault", third, "north", 100_000, 58_000, 6, true)));
        directory.applyStoreUpdate(STORE, update(1, held("w1", "record", 5_000)), SETTLED, SETTLED);
        directory.recordFetchLateness(new StoreLateness(STORE, 50, 500), SETTLED);
        directory.recordFetchLateness(new StoreLateness(second, 50, 480), SETTLED);
        assertThat(reads(100, SETTLED)).as("the third store isn't late").isEqualTo(100);

        directory.recordFetchLateness(new StoreLateness(third, 50, 490), SETTLED);
        assertThat(reads(100, SETTLED)).isEqualTo(100);

        directory.recordFetchLateness(new StoreLateness(STORE, 50, 1_900), SETTLED);
        assertThat(reads(100, SETTLED)).as("much later than the others").isBetween(1, 20);
    }

    private int reads(int plans, long nowMillis) {
        int reads = 0;
        for (int plan = 0; plan < plans; plan++) {
            reads += directory
                            .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, nowMillis)
                            .reads()
                    ? 1
                    : 0;
        }
        return reads;
    }

    @Test
    void fullStoreGetsNoSaves() {
        directory.applyStoreUpdate(STORE, update(1, held("w1", "other", 96_000)), SETTLED, SETTLED);

        assertThat(directory
                        .plan("w1", PROMPT, "north", BOTH, OBJECTIVE, Optional.empty(), ANY_DOMAIN, SETTLED)
                        .destinations()
                        .get(1))
                .isEmpty();
        assertThat(directory.usedTokens(STORE)).isEqualTo(96_000);
    }

    @Test
    void partsOfOlderWeightsAreOutdated() {
        directory.applyStoreUpdate(
                STORE, update(1, held("w1", "sheet", 10), held("w2.mine", "sheet", 10)), SETTLED, SETTLED);

        assertThat(directory.outdatedParts(STORE, 2)).containsExactly(new PartKey("w1", "sheet"));
    }

    /** An isolated customer's part must never be found by a request of another customer, nor under other weights. */
    @Test
    void saltSeparatesWeightsAndIsolatedCustomers() {
        Optional<CustomerIdentity> isolated = Optional.of(new CustomerIdentity("mine", OptionalInt.empty(), true));
        Optional<CustomerIdentity> shared = Optional.of(new CustomerIdentity("depot", OptionalInt.empty(), false));

        assertThat(List.of(
                        PartKey.salt(1, isolated),
                        PartKey.salt(2, isolated),
                        PartKey.salt(1, shared),
                        PartKey.salt(2, shared)))
                .doesNotHaveDuplicates();
        assertThat(PartKey.salt(1, shared)).isEqualTo(PartKey.salt(1, Optional.empty()));
        assertThat(PartKey.weightVersion(PartKey.salt(12, isolated))).contains(12L);
        assertThat(PartKey.weightVersion("request-7")).isEmpty();
    }

    private static StoreUpdate update(long incarnation, PartEvent... events) {
        return new StoreUpdate(incarnation, 1, false, List.of(events), OptionalLong.of(SETTLED));
    }

    private static PartEvent held(String salt, String id, int tokens) {
        return new PartEvent(new PartKey(salt, id), tokens, true);
    }
}
