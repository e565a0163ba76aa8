package org.rattanrudder.core.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.companion.CompanionEffect.DropBlock;
import org.rattanrudder.core.companion.CompanionEffect.ExportBlock;
import org.rattanrudder.core.companion.CompanionEffect.FetchBlock;
import org.rattanrudder.core.companion.CompanionEffect.LookUpBlocks;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.CacheEvent;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;
import org.rattanrudder.core.document.CacheSettings.Favour;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;

class BlockMoverTest {
    private static final long MAX_WAIT_MICROS = 2_000_000;

    private final BlockMoverFixture fixture = new BlockMoverFixture();

    @Test
    void evictedContextIsFetchedCompletely() {
        fixture.runAndEvict(fixture.prompt("dossier", 12));
        fixture.ready.clear();
        fixture.tick(60 * BlockMoverFixture.MINUTE);

        ContextPrompt returning = fixture.prompt("dossier", 12);
        fixture.prepare(returning);
        fixture.perform();

        assertThat(fixture.ready)
                .containsExactly(new ContextReady(
                        returning.attempt(), 12 * BlockMoverFixture.PIECE_TOKENS, 12 * BlockMoverFixture.PIECE_BYTES));
    }

    @Test
    void contextHeldByTheEngineIsNeitherLookedUpNorFetched() {
        ContextPrompt first = fixture.prompt("dossier", 12);
        fixture.prepare(first);
        fixture.perform();
        fixture.complete(first);
        fixture.perform();
        fixture.ready.clear();

        ContextPrompt second = fixture.prompt("dossier", 12);
        fixture.prepare(second);

        assertThat(fixture.effects).isEmpty();
        assertThat(fixture.ready).containsExactly(new ContextReady(second.attempt(), 0, 0));
    }

    /**
     * Many callers request the same context at once, and each would fetch the same blocks over the same link. All
     * prompts arrive while the blocks of the first one are being fetched.
     */
    @Test
    void promptsWithTheSameContextShareItsFetches() {
        fixture.runAndEvict(fixture.prompt("dossier", 6));
        fixture.ready.clear();
        fixture.stepMicros = 100;
        for (int prompt = 0; prompt < 20; prompt++) {
            fixture.prepare(fixture.prompt("dossier", 6));
        }
        fixture.takeEffects(LookUpBlocks.class).forEach(fixture::perform);
        List<Digest> fetched = new ArrayList<>();
        List<FetchBlock> fetches = fixture.takeEffects(FetchBlock.class);
        while (!fetches.isEmpty()) {
            fetches.forEach(fetch -> fetched.add(fetch.block().block()));
            fetches.forEach(fixture::perform);
            fetches = fixture.takeEffects(FetchBlock.class);
        }

        assertThat(fetched).hasSize(6).doesNotHaveDuplicates();
        assertThat(fixture.ready)
                .hasSize(20)
                .allMatch(each -> each.fetchedTokens() == 6 * BlockMoverFixture.PIECE_TOKENS);
    }

    /**
     * Text that was cached for one customer, service or weight version is requested under another. If block names
     * left one of the three out, it would be fetched, and one customer could read another's context.
     */
    @ParameterizedTest
    @CsvSource({"mine-8, verdict-llm, v1", "mine-7, summary-llm, v1", "mine-7, verdict-llm, v2"})
    void sameTextOfAnotherCustomerServiceOrWeightVersionIsNeverFetched(
            String customer, String service, String version) {
        fixture.runAndEvict(fixture.prompt("mine-7", "verdict-llm", "v1", "dossier", 6));
        fixture.ready.clear();

        fixture.prepare(fixture.prompt(customer, service, version, "dossier", 6));
        fixture.perform(fixture.takeEffects(LookUpBlocks.class).get(0));
        fixture.tick(MAX_WAIT_MICROS);

        assertThat(fixture.takeEffects(FetchBlock.class)).isEmpty();
        assertThat(fixture.ready).hasSize(1).allMatch(each -> each.fetchedTokens() == 0);
    }

    /**
     * A store answers a lookup with blocks that weren't requested, because responses were mixed up or the store is
     * faulty. If they were used, an answer would be computed from another context.
     */
    @Test
    void blocksThatWereNotRequestedAreIgnored() {
        ContextPrompt prompt = fixture.prompt("dossier", 2);
        fixture.prepare(prompt);
        StoredBlock other = fixture.stored(Digest.of("another"));
        fixture.takeEffects(LookUpBlocks.class)
                .forEach(lookup ->
                        fixture.handle(new CompanionEvent.BlockLookupEnded(lookup.lookup(), List.of(other), true)));

        assertThat(fixture.effects).isEmpty();
        assertThat(fixture.ready).containsExactly(new ContextReady(prompt.attempt(), 0, 0));
    }

    /**
     * A writer failed half-way, a slot was reused while it was read, or the store was restarted: the daemon's
     * verification reports it at the end of the move. The prompt must run with the blocks that were fetched and
     * compute the rest.
     */
    @ParameterizedTest
    @EnumSource(
            value = MoveOutcome.class,
            names = {"GONE", "CORRUPT", "UNREACHABLE", "FULL"})
    void blocksAfterAFailedFetchAreComputed(MoveOutcome outcome) {
        fixture.runAndEvict(fixture.prompt("dossier", 4));
        fixture.ready.clear();
        ContextPrompt prompt = fixture.prompt("dossier", 4);
        fixture.prepare(prompt);
        fixture.takeEffects(LookUpBlocks.class).forEach(fixture::perform);
        List<FetchBlock> fetches = fixture.takeEffects(FetchBlock.class);
        fixture.endMove(fetches.get(0).move(), MoveOutcome.DONE);
        fixture.endMove(fetches.get(1).move(), outcome);

        assertThat(fixture.ready)
                .containsExactly(new ContextReady(
                        prompt.attempt(), BlockMoverFixture.PIECE_TOKENS, 4 * BlockMoverFixture.PIECE_BYTES));
    }

    /** If the end of a move is lost, the prompt must not wait for it forever. */
    @Test
    void aMoveThatNeverEndsDelaysNoPromptBeyondTheMaximumWait() {
        fixture.runAndEvict(fixture.prompt("dossier", 4));
        fixture.ready.clear();
        fixture.prepare(fixture.prompt("dossier", 4));
        fixture.takeEffects(LookUpBlocks.class).forEach(fixture::perform);
        List<FetchBlock> fetches = fixture.takeEffects(FetchBlock.class);

        fixture.tick(MAX_WAIT_MICROS);
        assertThat(fixture.ready).hasSize(1).allMatch(each -> each.fetchedTokens() == 0);
        fetches.forEach(fetch -> fixture.endMove(fetch.move(), MoveOutcome.DONE));
        assertThat(fixture.ready).hasSize(1);
    }

    /** While both stores are unavailable, prompts must not each wait for the lookup timeout. */
    @Test
    void promptsAreNotDelayedWhileBothStoresAreUnavailable() {
        fixture.prepare(fixture.prompt("dossier", 4));
        fixture.tick(Lookups.MAX_WAIT_MICROS);
        assertThat(fixture.ready).hasSize(1);
        fixture.takeEffects(LookUpBlocks.class);

        fixture.prepare(fixture.prompt("other", 4));

        assertThat(fixture.takeEffects(LookUpBlocks.class)).isEmpty();
        assertThat(fixture.ready).hasSize(2);
    }

    @Test
    void anUnavailableStoreIsRetriedWithBackoff() {
        List<Long> attempts = new ArrayList<>();
        for (int second = 0; second < 600; second++) {
            fixture.tick(1_000_000);
            fixture.prepare(fixture.prompt("dossier", 4));
            if (!fixture.takeEffects(LookUpBlocks.class).isEmpty()) {
                attempts.add(fixture.now);
            }
            fixture.tick(Lookups.MAX_WAIT_MICROS);
        }

        assertThat(attempts).hasSizeBetween(8, 50);
        assertThat(fixture.ready).hasSize(600);
    }

    /**
     * The engine was restarted or its cache events were lost, so it no longer holds the blocks that were assumed.
     * Without clearing them, the prompt would be recomputed though a store has it.
     */
    @Test
    void aGapInTheCacheEventsClearsTheBlocksHeldByTheEngine() {
        ContextPrompt first = fixture.prompt("dossier", 4);
        fixture.prepare(first);
        fixture.perform();
        fixture.complete(first);
        fixture.perform();
        fixture.handle(new CompanionEvent.CacheEventsReported(BlockMoverFixture.TARGET, true, List.of()));

        fixture.prepare(fixture.prompt("dossier", 4));
        assertThat(fixture.takeEffects(LookUpBlocks.class)).isNotEmpty();
    }

    /**
     * A context is requested after only its end was evicted. If only the end were fetched, the engine would evict
     * the head to make room and compute it again, and the first token would come as late as with nothing cached.
     */
    @Test
    void theHeadOfAPromptIsFetchedTooIfItsEndWasEvicted() {
        ContextPrompt first = runAndEvictFrom(2);
        fixture.prepare(fixture.prompt("dossier", 4));

        assertThat(fixture.takeEffects(LookUpBlocks.class))
                .allSatisfy(lookup -> assertThat(lookup.blocks()).isEqualTo(first.blocks()));
    }

    @Test
    void aHeadThatOtherPromptsUsedLaterCountsAsHeld() {
        ContextPrompt first = runAndEvictFrom(2);
        fixture.tick(BlockMoverFixture.MINUTE);
        fixture.prepare(fixture.prompt("dossier", 2));
        assertThat(fixture.takeEffects(LookUpBlocks.class)).isEmpty();

        fixture.tick(BlockMoverFixture.MINUTE);
        fixture.prepare(fixture.prompt("dossier", 4));
        assertThat(fixture.takeEffects(LookUpBlocks.class))
                .isNotEmpty()
                .allSatisfy(lookup ->
                        assertThat(lookup.blocks()).isEqualTo(first.blocks().subList(2, 4)));
    }

    /** Runs a prompt of four blocks, of which the engine then evicts those from an index on. */
    private ContextPrompt runAndEvictFrom(int from) {
        ContextPrompt prompt = fixture.prompt("dossier", 4);
        fixture.prepare(prompt);
        fixture.perform();
        fixture.complete(prompt);
        fixture.perform();
        List<CacheEvent> evicted = prompt.blocks().subList(from, 4).stream()
                .map(block -> new CacheEvent(block, false))
                .toList();
        fixture.handle(new CompanionEvent.CacheEventsReported(BlockMoverFixture.TARGET, false, evicted));
        return prompt;
    }

    /**
     * The weights are swapped during a run, so the engine holds blocks of the new weights under names of the old
     * version. If they were used, a request would be answered from blocks of other weights.
     */
    @Test
    void blocksOfARunDuringAWeightSwapAreNeitherAssumedHeldNorExported() {
        ContextPrompt prompt = fixture.prompt("dossier", 4);
        fixture.prepare(prompt);
        fixture.perform();
        fixture.mover.onCompleted(prompt, "v2", 0, fixture.now, fixture.effects::add);

        fixture.tick(50_000);
        assertThat(fixture.takeEffects(ExportBlock.class)).isEmpty();
        fixture.prepare(fixture.prompt("dossier", 4));
        assertThat(fixture.takeEffects(LookUpBlocks.class)).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void aFullStoreEvictsTheBlocksUsedLeastOften(int returns) {
        for (Address store : fixture.stores.keySet()) {
            fixture.capacities.put(store, 4);
        }
        for (int use = 0; use <= returns; use++) {
            fixture.runAndEvict(fixture.prompt("returning", 4));
            fixture.tick(5 * BlockMoverFixture.MINUTE);
        }
        for (int once = 0; once < 6; once++) {
            fixture.runAndEvict(fixture.prompt("once-" + once, 4));
            fixture.tick(BlockMoverFixture.MINUTE);
        }
        fixture.ready.clear();
        fixture.prepare(fixture.prompt("returning", 4));
        fixture.perform();

        assertThat(fixture.ready).allMatch(each -> each.fetchedTokens() == 4 * BlockMoverFixture.PIECE_TOKENS);
    }

    @Test
    void aFullStoreDoesNotEvictMoreValuableBlocks() {
        for (Address store : fixture.stores.keySet()) {
            fixture.capacities.put(store, 0);
        }
        fixture.runAndEvict(fixture.prompt("dossier", 4));

        assertThat(fixture.takeEffects(DropBlock.class)).isEmpty();
    }

    /**
     * The engine sends a block before the store reports that it is full. If refused exports didn't count, the next
     * one would start at once, and so on, and flood the engine's link though no store accepts a byte.
     */
    @Test
    void exportsRefusedByAFullStoreCountAgainstTheLinkBudgets() {
        for (Address store : fixture.stores.keySet()) {
            fixture.capacities.put(store, 0);
        }
        fixture.stepMicros = 1;
        for (int dossier = 0; dossier < 40; dossier++) {
            ContextPrompt prompt = fixture.prompt("dossier-" + dossier, 12);
            fixture.prepare(prompt);
            fixture.takeEffects(LookUpBlocks.class).forEach(fixture::perform);
            fixture.complete(prompt);
        }
        int exports = 0;
        List<ExportBlock> started = fixture.takeEffects(ExportBlock.class);
        while (!started.isEmpty()) {
            exports += started.size();
            started.forEach(fixture::perform);
            started = fixture.takeEffects(ExportBlock.class);
        }

        // 200 MB/s carry 100 blocks of 2 MB in a second, and exports may take half of that.
        assertThat(exports).isBetween(1, 50);
    }

    /**
     * A fetch that is slower than the engine is not made when the service favours the first token, but is made when
     * it favours saving recomputation.
     */
    @ParameterizedTest
    @CsvSource({"FIRST_TOKEN, 0", "RECOMPUTE, 4"})
    void theFavourSettingDecidesWhetherASlowFetchIsMade(Favour favour, int fetched) {
        // A block's fetch takes about 10 ms at 200 MB/s, and its recomputation 6.7 ms.
        BlockMoverFixture slow = new BlockMoverFixture(favour, 300_000, MoverPolicy.DEFAULT);
        slow.runAndEvict(slow.prompt("dossier", 4));
        slow.prepare(slow.prompt("dossier", 4));
        slow.takeEffects(LookUpBlocks.class).forEach(slow::perform);

        assertThat(slow.takeEffects(FetchBlock.class)).hasSize(fetched);
    }

    @Test
    void effectsAreDeterministic() {
        assertThat(script()).isEqualTo(script()).isNotEmpty();
    }

    private static List<Object> script() {
        BlockMoverFixture fixture = new BlockMoverFixture();
        List<Object> all = new ArrayList<>();
        for (int prompt = 0; prompt < 30; prompt++) {
            ContextPrompt next = fixture.prompt("dossier-" + prompt % 5, 3 + prompt % 4);
            fixture.prepare(next);
            all.addAll(fixture.effects);
            fixture.perform();
            fixture.complete(next);
            all.addAll(fixture.effects);
            fixture.perform();
            fixture.evict();
        }
        all.addAll(fixture.ready);
        return all;
    }
}
