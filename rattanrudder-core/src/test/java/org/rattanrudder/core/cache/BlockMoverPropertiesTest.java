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
    /** Half the time to the deadline, and the waits for a lookup and for the ticks that find both over. */
    private static final long LONGEST_WAIT_MICROS = 15_000_000 + Lookups.LONGEST_MICROS + 3 * TICK_MICROS;

    @Property(seed = "31", tries = 40)
    void withRoomAndWithoutFaultsOnlyWhatIsNewIsComputed(@ForAll @IntRange(max = 1_000_000) int seed) {
        CacheRig rig = new CacheRig();
        Random random = new Random(seed);
        Set<Digest> computed = new HashSet<>();
        for (int turn = 0; turn < 30; turn++) {
            ContextPrompt prompt = rig.prompt("dossier-" + random.nextInt(5), 1 + random.nextInt(12));
            long seenBefore =
                    prompt.blocks().stream().filter(computed::contains).count();
            rig.ready.clear();
            rig.runAndEvict(prompt);

            assertThat(rig.ready.get(0).fetchedTokens()).isEqualTo(seenBefore * CacheRig.PIECE_TOKENS);
            computed.addAll(prompt.blocks());
            rig.tick(CacheRig.MINUTE);
        }
    }

    /**
     * Prompts of several customers and versions come and go while answers are lost, late or in any order, moves fail,
     * stores hold what they like, and the engine's events have gaps.
     */
    @Property(seed = "32", tries = 150)
    void whateverHappensPromptsGoInTimeAndFetchesAreTheirOwn(@ForAll @IntRange(max = 1_000_000) int seed) {
        List<CompanionEffect> effects = new Interleaving(seed).run();
        assertThat(effects).isEqualTo(new Interleaving(seed).run());
    }

    private static final class Interleaving {
        private final CacheRig rig = new CacheRig();
        private final Random random;
        private final List<CompanionEffect> open = new ArrayList<>();
        private final List<CompanionEffect> all = new ArrayList<>();
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
            for (long waited = 0; waited < LONGEST_WAIT_MICROS; waited += TICK_MICROS) {
                rig.tick(TICK_MICROS);
                check();
            }
            assertThat(waiting).isEmpty();
            return all;
        }

        private void step() {
            rig.now += random.nextInt(20_000);
            if (rig.now - lastTickMicros >= TICK_MICROS) {
                lastTickMicros = rig.now;
                rig.tick(0);
                check();
            }
            int choice = random.nextInt(20);
            if (choice < 4) {
                prepare();
            } else if (choice == 6) {
                rig.evict();
            } else if (choice == 7 && !waiting.isEmpty()) {
                AttemptId attempt = waiting.keySet().iterator().next();
                rig.mover.cancel(CacheRig.TARGET, attempt);
                waiting.remove(attempt);
            } else if (!open.isEmpty()) {
                answer(open.remove(random.nextInt(open.size())));
            }
        }

        private void prepare() {
            String customer = "mine-" + random.nextInt(6) / 5;
            String version = "v" + random.nextInt(6) / 5;
            ContextPrompt prompt = rig.prompt(
                    customer, "verdict-llm", version, "dossier-" + random.nextInt(2), 1 + random.nextInt(12));
            Digest parent = prompt.root();
            for (Digest block : prompt.blocks()) {
                parents.put(block, parent);
                versions.put(block, version);
                parent = block;
            }
            waiting.put(prompt.attempt(), rig.now);
            rig.prepare(prompt);
            if (random.nextBoolean()) {
                rig.ended(prompt);
            }
        }

        private void answer(CompanionEffect effect) {
            if (effect instanceof LookUpBlocks lookup) {
                answerLookup(lookup);
            } else if (effect instanceof FetchBlock fetch) {
                boolean lost = random.nextInt(10) == 0;
                if (!lost) {
                    fetching.remove(fetch.block().block());
                    rig.end(fetch.move(), outcome());
                }
            } else if (effect instanceof CompanionEffect.ExportBlock export && random.nextInt(10) > 0) {
                rig.end(export.move(), outcome());
            }
        }

        private void answerLookup(LookUpBlocks lookup) {
            List<StoredBlock> found = new ArrayList<>();
            for (Digest block : lookup.blocks()) {
                if (random.nextInt(4) > 0) {
                    found.add(rig.stored(block));
                }
            }
            found.add(rig.stored(Digest.of("crossed", Integer.toString(random.nextInt()))));
            described.addAll(found);
            boolean answered = random.nextInt(5) > 0;
            rig.handle(new CompanionEvent.BlockLookupEnded(lookup.lookup(), answered ? found : List.of(), answered));
        }

        private MoveOutcome outcome() {
            return random.nextInt(3) > 0
                    ? MoveOutcome.DONE
                    : MoveOutcome.values()[random.nextInt(MoveOutcome.values().length)];
        }

        private void check() {
            for (ContextReady ready : rig.ready) {
                Long since = waiting.remove(ready.attempt());
                assertThat(since)
                        .as("ready once, and not after it was given up")
                        .isNotNull();
                assertThat(rig.now - since).isLessThanOrEqualTo(LONGEST_WAIT_MICROS);
            }
            rig.ready.clear();
            for (CompanionEffect effect : rig.take(CompanionEffect.class)) {
                all.add(effect);
                open.add(effect);
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
            Long before = fetching.put(block, rig.now);
            assertThat(before == null || rig.now - before >= CompanionEffect.MOVE_TIMEOUT_MICROS)
                    .as("one fetch of a block at a time")
                    .isTrue();
        }
    }
}
