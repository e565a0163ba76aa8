package org.rattanrudder.core.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEffect.FetchBlock;
import org.rattanrudder.core.companion.CompanionEffect.LookUpBlocks;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionEvent.MoveOutcome;
import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;

class BlockMoverPropertiesTest {
    private static final long TICK_MICROS = 50_000;
    /** Half the time to the deadline, the lookup timeout, and the ticks that detect the end of both. */
    private static final long MAX_WAIT_MICROS = 15_000_000 + Lookups.MAX_WAIT_MICROS + 3 * TICK_MICROS;

    @Property(seed = "31", tries = 40)
    void withFreeSpaceAndNoFailuresOnlyNewBlocksAreComputed(@ForAll @IntRange(max = 1_000_000) int seed) {
        BlockMoverFixture rig = new BlockMoverFixture();
        Random random = new Random(seed);
        Set<Digest> computed = new HashSet<>();
        for (int round = 0; round < 30; round++) {
            ContextPrompt prompt = rig.prompt("dossier-" + random.nextInt(5), 1 + random.nextInt(12));
            long seenBefore =
                    prompt.blocks().stream().filter(computed::contains).count();
            rig.ready.clear();
            rig.runAndEvict(prompt);

            assertThat(rig.ready.get(0).fetchedTokens()).isEqualTo(seenBefore * BlockMoverFixture.PIECE_TOKENS);
            computed.addAll(prompt.blocks());
            rig.tick(BlockMoverFixture.MINUTE);
        }
    }

    /**
     * Prompts of several customers and versions arrive and are cancelled while responses are lost, late or
     * reordered, moves fail, stores hold arbitrary blocks, and the engine's events have gaps.
     */
    @Property(seed = "32", tries = 150)
    void promptsAreReadyInTimeAndFetchOnlyTheirOwnBlocksUnderFailures(@ForAll @IntRange(max = 1_000_000) int seed) {
        List<CompanionEffect> effects = new Interleaving(seed).run();
        assertThat(effects).isEqualTo(new Interleaving(seed).run());
    }

    private static final class Interleaving {
        private final BlockMoverFixture fixture = new BlockMoverFixture();
        private final Random random;
        private final List<CompanionEffect> pendingEffects = new ArrayList<>();
        private final List<CompanionEffect> allEffects = new ArrayList<>();
        private final Map<AttemptId, Long> waiting = new HashMap<>();
        private final Map<Digest, Digest> parents = new HashMap<>();
        private final Map<Digest, String> versions = new HashMap<>();
        private final Set<StoredBlock> described = new HashSet<>();
        private final Map<Digest, Long> fetching = new HashMap<>();
        private long lastTickMicros;

        Interleaving(int seed) {
            random = new Random(seed);
        }

        List<CompanionEffect> run() {
            for (int step = 0; step < 400; step++) {
                step();
                check();
            }
            for (long waited = 0; waited < MAX_WAIT_MICROS; waited += TICK_MICROS) {
                fixture.tick(TICK_MICROS);
                check();
            }
            assertThat(waiting).isEmpty();
            return allEffects;
        }

        private void step() {
            fixture.now += random.nextInt(20_000);
            if (fixture.now - lastTickMicros >= TICK_MICROS) {
                lastTickMicros = fixture.now;
                fixture.tick(0);
                check();
            }
            int choice = random.nextInt(20);
            if (choice < 4) {
                prepare();
            } else if (choice == 6) {
                fixture.evict();
            } else if (choice == 7 && !waiting.isEmpty()) {
                AttemptId attempt = waiting.keySet().iterator().next();
                fixture.mover.cancel(BlockMoverFixture.TARGET, attempt);
                waiting.remove(attempt);
            } else if (!pendingEffects.isEmpty()) {
                answer(pendingEffects.remove(random.nextInt(pendingEffects.size())));
            }
        }

        private void prepare() {
            String customer = "mine-" + random.nextInt(6) / 5;
            String version = "v" + random.nextInt(6) / 5;
            ContextPrompt prompt = fixture.prompt(
                    customer, "verdict-llm", version, "dossier-" + random.nextInt(2), 1 + random.nextInt(12));
            Digest parent = prompt.root();
            for (Digest block : prompt.blocks()) {
                parents.put(block, parent);
                versions.put(block, version);
                parent = block;
            }
            waiting.put(prompt.attempt(), fixture.now);
            fixture.prepare(prompt);
            if (random.nextBoolean()) {
                fixture.complete(prompt);
            }
        }

        private void answer(CompanionEffect effect) {
            if (effect instanceof LookUpBlocks lookup) {
                answerLookup(lookup);
            } else if (effect instanceof FetchBlock fetch) {
                boolean lost = random.nextInt(10) == 0;
                if (!lost) {
                    fetching.remove(fetch.block().block());
                    fixture.endMove(fetch.move(), outcome());
                }
            } else if (effect instanceof CompanionEffect.ExportBlock export && random.nextInt(10) > 0) {
                fixture.endMove(export.move(), outcome());
            }
        }

        private void answerLookup(LookUpBlocks lookup) {
            List<StoredBlock> found = new ArrayList<>();
            for (Digest block : lookup.blocks()) {
                if (random.nextInt(4) > 0) {
                    found.add(fixture.stored(block));
                }
            }
            found.add(fixture.stored(Digest.of("crossed", Integer.toString(random.nextInt()))));
            described.addAll(found);
            boolean answered = random.nextInt(5) > 0;
            fixture.handle(
                    new CompanionEvent.BlockLookupEnded(lookup.lookup(), answered ? found : List.of(), answered));
        }

        private MoveOutcome outcome() {
            return random.nextInt(3) > 0
                    ? MoveOutcome.DONE
                    : MoveOutcome.values()[random.nextInt(MoveOutcome.values().length)];
        }

        private void check() {
            for (ContextReady ready : fixture.ready) {
                Long since = waiting.remove(ready.attempt());
                assertThat(since)
                        .as("ready once, and not after it was cancelled")
                        .isNotNull();
                assertThat(fixture.now - since).isLessThanOrEqualTo(MAX_WAIT_MICROS);
            }
            fixture.ready.clear();
            for (CompanionEffect effect : fixture.takeEffects(CompanionEffect.class)) {
                allEffects.add(effect);
                pendingEffects.add(effect);
                if (effect instanceof FetchBlock fetch) {
                    checkFetch(fetch);
                }
            }
        }

        private void checkFetch(FetchBlock fetch) {
            Digest block = fetch.block().block();
            assertThat(described).contains(fetch.block());
            assertThat(fetch.parent()).isEqualTo(parents.get(block));
            assertThat(fetch.weightVersion()).isEqualTo(versions.get(block));
            Long before = fetching.put(block, fixture.now);
            assertThat(before == null || fixture.now - before >= CompanionEffect.MOVE_TIMEOUT_MICROS)
                    .as("one fetch of a block at a time")
                    .isTrue();
        }
    }
}
