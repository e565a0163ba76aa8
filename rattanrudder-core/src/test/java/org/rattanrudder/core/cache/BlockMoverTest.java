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
    private static final long BOUND_MICROS = 2_000_000;

    private final CacheRig rig = new CacheRig();

    @Test
    void contextThatReturnsAfterItsEvictionIsFetchedWhole() {
        rig.runAndEvict(rig.prompt("dossier", 12));
        rig.ready.clear();
        rig.tick(60 * CacheRig.MINUTE);

        ContextPrompt returning = rig.prompt("dossier", 12);
        rig.prepare(returning);
        rig.carryOut();

        assertThat(rig.ready)
                .containsExactly(
                        new ContextReady(returning.attempt(), 12 * CacheRig.PIECE_TOKENS, 12 * CacheRig.PIECE_BYTES));
    }

    @Test
    void contextThatTheEngineHoldsIsNeitherLookedUpNorFetched() {
        ContextPrompt first = rig.prompt("dossier", 12);
        rig.prepare(first);
        rig.carryOut();
        rig.ended(first);
        rig.carryOut();
        rig.ready.clear();

        ContextPrompt second = rig.prompt("dossier", 12);
        rig.prepare(second);

        assertThat(rig.effects).isEmpty();
        assertThat(rig.ready).containsExactly(new ContextReady(second.attempt(), 0, 0));
    }

    /**
     * A breaking context returns for many callers at once, and each would fetch the same blocks over the same link.
     * All prompts arrive while the first one's blocks are on their way.
     */
    @Test
    void promptsOfOneContextShareItsFetches() {
        rig.runAndEvict(rig.prompt("dossier", 6));
        rig.ready.clear();
        rig.stepMicros = 100;
        for (int prompt = 0; prompt < 20; prompt++) {
            rig.prepare(rig.prompt("dossier", 6));
        }
        rig.take(LookUpBlocks.class).forEach(rig::carryOut);
        List<Digest> fetched = new ArrayList<>();
        List<FetchBlock> fetches = rig.take(FetchBlock.class);
        while (!fetches.isEmpty()) {
            fetches.forEach(fetch -> fetched.add(fetch.block().block()));
            fetches.forEach(rig::carryOut);
            fetches = rig.take(FetchBlock.class);
        }

        assertThat(fetched).hasSize(6).doesNotHaveDuplicates();
        assertThat(rig.ready).hasSize(20).allMatch(each -> each.fetchedTokens() == 6 * CacheRig.PIECE_TOKENS);
    }

    /**
     * A depot or mine would read another's context: the same text was cached for one customer, one service or one
     * weight version, and returns under another. Names that leave one of them out would find it.
     */
    @ParameterizedTest
    @CsvSource({"mine-8, verdict-llm, v1", "mine-7, summary-llm, v1", "mine-7, verdict-llm, v2"})
    void sameTextOfAnotherCustomerServiceOrVersionIsNeverFetched(String customer, String service, String version) {
        rig.runAndEvict(rig.prompt("mine-7", "verdict-llm", "v1", "dossier", 6));
        rig.ready.clear();

        rig.prepare(rig.prompt(customer, service, version, "dossier", 6));
        rig.carryOut(rig.take(LookUpBlocks.class).get(0));
        rig.tick(BOUND_MICROS);

        assertThat(rig.take(FetchBlock.class)).isEmpty();
        assertThat(rig.ready).hasSize(1).allMatch(each -> each.fetchedTokens() == 0);
    }

    /**
     * A verdict would rest on another context: a store answers a lookup with blocks that weren't asked for, because an
     * answer got crossed or the store is at fault.
     */
    @Test
    void blocksThatWereNotAskedForAreIgnored() {
        ContextPrompt prompt = rig.prompt("dossier", 2);
        rig.prepare(prompt);
        StoredBlock other = rig.stored(Digest.of("another"));
        rig.take(LookUpBlocks.class)
                .forEach(lookup ->
                        rig.handle(new CompanionEvent.BlockLookupEnded(lookup.lookup(), List.of(other), true)));

        assertThat(rig.effects).isEmpty();
        assertThat(rig.ready).containsExactly(new ContextReady(prompt.attempt(), 0, 0));
    }

    /**
     * A writer died half-way, a slot was reused while it was read, or the store was restarted: the daemon's check says
     * so at the end of the move. The prompt must go on with what is in place and compute the rest.
     */
    @ParameterizedTest
    @EnumSource(
            value = MoveOutcome.class,
            names = {"GONE", "CORRUPT", "UNREACHABLE", "FULL"})
    void blocksBehindOneThatCannotBeFetchedAreComputed(MoveOutcome outcome) {
        rig.runAndEvict(rig.prompt("dossier", 4));
        rig.ready.clear();
        ContextPrompt prompt = rig.prompt("dossier", 4);
        rig.prepare(prompt);
        rig.take(LookUpBlocks.class).forEach(rig::carryOut);
        List<FetchBlock> fetches = rig.take(FetchBlock.class);
        rig.end(fetches.get(0).move(), MoveOutcome.DONE);
        rig.end(fetches.get(1).move(), outcome);

        assertThat(rig.ready)
                .containsExactly(new ContextReady(prompt.attempt(), CacheRig.PIECE_TOKENS, 4 * CacheRig.PIECE_BYTES));
    }

    /** A bus waits at the pump: the end of a move is lost, and the prompt would wait for it for good. */
    @Test
    void aMoveThatNeverEndsHoldsUpNoPromptPastItsBound() {
        rig.runAndEvict(rig.prompt("dossier", 4));
        rig.ready.clear();
        rig.prepare(rig.prompt("dossier", 4));
        rig.take(LookUpBlocks.class).forEach(rig::carryOut);
        List<FetchBlock> fetches = rig.take(FetchBlock.class);

        rig.tick(BOUND_MICROS);
        assertThat(rig.ready).hasSize(1).allMatch(each -> each.fetchedTokens() == 0);
        fetches.forEach(fetch -> rig.end(fetch.move(), MoveOutcome.DONE));
        assertThat(rig.ready).hasSize(1);
    }

    /** Both stores are dead: prompts must not each wait for a lookup to time out. */
    @Test
    void whileBothStoresAreDeadPromptsGoAtOnce() {
        rig.prepare(rig.prompt("dossier", 4));
        rig.tick(Lookups.LONGEST_MICROS);
        assertThat(rig.ready).hasSize(1);
        rig.take(LookUpBlocks.class);

        rig.prepare(rig.prompt("other", 4));

        assertThat(rig.take(LookUpBlocks.class)).isEmpty();
        assertThat(rig.ready).hasSize(2);
    }

    @Test
    void aStoreThatStaysDeadIsTriedLessAndLess() {
        List<Long> tries = new ArrayList<>();
        for (int second = 0; second < 600; second++) {
            rig.tick(1_000_000);
            rig.prepare(rig.prompt("dossier", 4));
            if (!rig.take(LookUpBlocks.class).isEmpty()) {
                tries.add(rig.now);
            }
            rig.tick(Lookups.LONGEST_MICROS);
        }

        assertThat(tries).hasSizeBetween(8, 50);
        assertThat(rig.ready).hasSize(600);
    }

    /**
     * The engine was restarted or its events were lost: it no longer holds what was believed, and the prompt would be
     * recomputed though a store has it.
     */
    @Test
    void aGapInTheEventsDropsWhatWasBelievedOfTheEngine() {
        ContextPrompt first = rig.prompt("dossier", 4);
        rig.prepare(first);
        rig.carryOut();
        rig.ended(first);
        rig.carryOut();
        rig.handle(new CompanionEvent.CacheEventsReported(CacheRig.TARGET, true, List.of()));

        rig.prepare(rig.prompt("dossier", 4));
        assertThat(rig.take(LookUpBlocks.class)).isNotEmpty();
    }

    /**
     * A dossier returns when only its end has been freed, and its first token comes as late as if all had been: the
     * engine frees the head to make room for the end that is fetched, and computes it again.
     */
    @Test
    void ofAPromptWhoseEndWasFreedTheHeadIsFetchedToo() {
        ContextPrompt first = holdAndFree(2);
        rig.prepare(rig.prompt("dossier", 4));

        assertThat(rig.take(LookUpBlocks.class))
                .allSatisfy(lookup -> assertThat(lookup.blocks()).isEqualTo(first.blocks()));
    }

    @Test
    void aHeadThatOthersUsedSinceCountsAsHeld() {
        ContextPrompt first = holdAndFree(2);
        rig.tick(CacheRig.MINUTE);
        rig.prepare(rig.prompt("dossier", 2));
        assertThat(rig.take(LookUpBlocks.class)).isEmpty();

        rig.tick(CacheRig.MINUTE);
        rig.prepare(rig.prompt("dossier", 4));
        assertThat(rig.take(LookUpBlocks.class))
                .isNotEmpty()
                .allSatisfy(lookup ->
                        assertThat(lookup.blocks()).isEqualTo(first.blocks().subList(2, 4)));
    }

    /** Runs a prompt of four blocks, of which the engine then frees those from an index on. */
    private ContextPrompt holdAndFree(int from) {
        ContextPrompt prompt = rig.prompt("dossier", 4);
        rig.prepare(prompt);
        rig.carryOut();
        rig.ended(prompt);
        rig.carryOut();
        List<CacheEvent> freed = prompt.blocks().subList(from, 4).stream()
                .map(block -> new CacheEvent(block, false))
                .toList();
        rig.handle(new CompanionEvent.CacheEventsReported(CacheRig.TARGET, false, freed));
        return prompt;
    }

    /**
     * A check would be answered from blocks of other weights: the weights are swapped during a run, whose blocks then
     * stand in the engine under the name of the old version.
     */
    @Test
    void whatARunAcrossASwapLeavesIsNeitherBelievedNorExported() {
        ContextPrompt prompt = rig.prompt("dossier", 4);
        rig.prepare(prompt);
        rig.carryOut();
        rig.mover.onCompleted(prompt, "v2", 0, rig.now, rig.effects::add);

        rig.tick(50_000);
        assertThat(rig.take(ExportBlock.class)).isEmpty();
        rig.prepare(rig.prompt("dossier", 4));
        assertThat(rig.take(LookUpBlocks.class)).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void aFullStoreGivesUpWhatReturnsLeast(int returns) {
        for (Address store : rig.stores.keySet()) {
            rig.capacities.put(store, 4);
        }
        for (int sight = 0; sight <= returns; sight++) {
            rig.runAndEvict(rig.prompt("returning", 4));
            rig.tick(5 * CacheRig.MINUTE);
        }
        for (int once = 0; once < 6; once++) {
            rig.runAndEvict(rig.prompt("once-" + once, 4));
            rig.tick(CacheRig.MINUTE);
        }
        rig.ready.clear();
        rig.prepare(rig.prompt("returning", 4));
        rig.carryOut();

        assertThat(rig.ready).allMatch(each -> each.fetchedTokens() == 4 * CacheRig.PIECE_TOKENS);
    }

    @Test
    void aFullStoreIsNotAskedToDropWhatIsWorthMore() {
        for (Address store : rig.stores.keySet()) {
            rig.capacities.put(store, 0);
        }
        rig.runAndEvict(rig.prompt("dossier", 4));

        assertThat(rig.take(DropBlock.class)).isEmpty();
    }

    /**
     * An engine's link floods, though no store takes a byte: the engine sends a block before the store says that it is
     * full, and the next export starts at once, and so on.
     */
    @Test
    void exportsThatAFullStoreRefusesCountAgainstTheLinks() {
        for (Address store : rig.stores.keySet()) {
            rig.capacities.put(store, 0);
        }
        rig.stepMicros = 1;
        for (int dossier = 0; dossier < 40; dossier++) {
            ContextPrompt prompt = rig.prompt("dossier-" + dossier, 12);
            rig.prepare(prompt);
            rig.take(LookUpBlocks.class).forEach(rig::carryOut);
            rig.ended(prompt);
        }
        int exports = 0;
        List<ExportBlock> started = rig.take(ExportBlock.class);
        while (!started.isEmpty()) {
            exports += started.size();
            started.forEach(rig::carryOut);
            started = rig.take(ExportBlock.class);
        }

        // 200 MB/s carry 100 blocks of 2 MB in a second, and exports may take half of that.
        assertThat(exports).isBetween(1, 50);
    }

    /** Favouring the first token, a fetch slower than the engine is left alone; favouring recompute, it is made. */
    @ParameterizedTest
    @CsvSource({"FIRST_TOKEN, 0", "RECOMPUTE, 4"})
    void theFavouredOutcomeDecidesWhetherASlowFetchIsMade(Favour favour, int fetched) {
        // A block's fetch takes about 10 ms at 200 MB/s, and its recomputation 6.7 ms.
        CacheRig slow = new CacheRig(favour, 300_000, MoverPolicy.DEFAULT);
        slow.runAndEvict(slow.prompt("dossier", 4));
        slow.prepare(slow.prompt("dossier", 4));
        slow.take(LookUpBlocks.class).forEach(slow::carryOut);

        assertThat(slow.take(FetchBlock.class)).hasSize(fetched);
    }

    @Test
    void sameEventsGiveSameEffects() {
        assertThat(script()).isEqualTo(script()).isNotEmpty();
    }

    private static List<Object> script() {
        CacheRig rig = new CacheRig();
        List<Object> all = new ArrayList<>();
        for (int prompt = 0; prompt < 30; prompt++) {
            ContextPrompt next = rig.prompt("dossier-" + prompt % 5, 3 + prompt % 4);
            rig.prepare(next);
            all.addAll(rig.effects);
            rig.carryOut();
            rig.ended(next);
            all.addAll(rig.effects);
            rig.carryOut();
            rig.evict();
        }
        all.addAll(rig.ready);
        return all;
    }
}
