package org.rattanrudder.core.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.Digest;

class BlockCatalogTest {
    private static final int BLOCKS = 512;
    private static final long MINUTE = 60_000_000;

    @Property(seed = "41", tries = 50)
    void belowItsCapacityItBehavesLikeAMap(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        BlockCatalog catalog = new BlockCatalog(BLOCKS, RetentionScore.RETURN_RATE, random);
        Map<Digest, Boolean> held = new HashMap<>();
        Map<Digest, Integer> stores = new HashMap<>();
        for (int step = 0; step < 3_000; step++) {
            Digest block = block(random.nextInt(BLOCKS));
            boolean value = random.nextBoolean();
            catalog.recordUse(block, 0, step * MINUTE);
            catalog.setHeld(block, value, step * MINUTE);
            held.put(block, value);
            if (value) {
                catalog.setStore(block, step % 2, step * MINUTE);
                stores.put(block, step % 2);
            } else {
                catalog.clearStore(block, step % 2);
                stores.remove(block, step % 2);
            }
        }
        held.forEach((block, value) -> assertThat(catalog.isHeld(block)).isEqualTo(value));
        held.keySet().forEach(block -> assertThat(catalog.store(block)).isEqualTo(stores.getOrDefault(block, -1)));
    }

    /**
     * Far more blocks are used than the catalog may keep. Without a bound, the process would run out of memory;
     * without keeping stored blocks, a store would fill with blocks that are never freed.
     */
    @Property(seed = "42", tries = 20)
    void aboveItsCapacityItEvictsOnlyBlocksThatNoStoreHolds(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        BlockCatalog catalog = new BlockCatalog(BLOCKS, RetentionScore.RETURN_RATE, random);
        long maxBytes = catalog.bytes();
        Set<Digest> stored = new HashSet<>();
        for (int index = 0; index < 20_000; index++) {
            Digest block = block(index);
            catalog.recordUse(block, 0, index * MINUTE);
            if (index % 100 == 0) {
                catalog.setStore(block, 0, index * MINUTE);
                stored.add(block);
            }
            maxBytes = Math.max(maxBytes, catalog.bytes());
        }
        assertThat(maxBytes).isLessThanOrEqualTo(2L * BLOCKS * BlockCatalog.BYTES_PER_SLOT);
        assertThat(stored).allMatch(block -> catalog.store(block) == 0);
    }

    @Test
    void aBlockThatIsReusedMoreOftenIsMoreValuable() {
        BlockCatalog catalog = new BlockCatalog(BLOCKS, RetentionScore.RETURN_RATE, new Random(1));
        for (int hour = 0; hour < 5; hour++) {
            catalog.recordUse(block(1), 0, hour * 60 * MINUTE);
        }
        catalog.recordUse(block(2), 0, 4 * 60 * MINUTE);
        catalog.setStore(block(1), 0, 0);
        catalog.setStore(block(2), 0, 0);

        assertThat(catalog.leastValuable(0, 5 * 60 * MINUTE)).isEqualTo(block(2));
        assertThat(catalog.leastValuable(0, 100 * 60 * MINUTE)).isEqualTo(block(1));
    }

    @Test
    void theDeepestOfEquallyValuableBlocksIsEvictedFirst() {
        BlockCatalog catalog = new BlockCatalog(BLOCKS, RetentionScore.RETURN_RATE, new Random(1));
        for (int depth = 0; depth < 8; depth++) {
            catalog.recordUse(block(depth), depth, MINUTE);
            catalog.setStore(block(depth), 0, MINUTE);
        }

        assertThat(catalog.leastValuable(0, 2 * MINUTE)).isEqualTo(block(7));
    }

    private static Digest block(int index) {
        return Digest.of("block", Integer.toString(index));
    }
}
