package org.rattanrudder.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RendezvousOrderTest {
    private static final int KEYS = 20_000;

    @Property(seed = "41", tries = 60)
    void aWalkReturnsEachTargetOnce(@ForAll @IntRange(min = 1, max = 700) int size, @ForAll long key) {
        TargetPool pool = TestPools.idle(size);
        RendezvousOrder.Walk walk = pool.order().walk(key);
        List<RoutableTarget> visited = new ArrayList<>();
        for (RoutableTarget next = walk.next(); next != null; next = walk.next()) {
            visited.add(next);
        }
        assertThat(visited).containsExactlyInAnyOrderElementsOf(pool.targets());
    }

    /** Removing a target must not move the contexts of other targets, since each would have to be recomputed. */
    @ParameterizedTest
    @ValueSource(ints = {10, 200, 1_000})
    void removingATargetMovesFewKeysBesidesItsOwn(int size) {
        TargetPool before = TestPools.idle(size);
        TargetPool after = before.withSettings(TestPools.settings(size - 1));
        int moved = 0;
        int own = 0;
        for (int key = 0; key < KEYS; key++) {
            String home = home(before, key);
            own += home.equals("target-" + (size - 1)) ? 1 : 0;
            moved += home.equals(home(after, key)) ? 0 : 1;
        }
        assertThat(moved - own).isLessThanOrEqualTo(KEYS * 2 / size);
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 200, 1_000})
    void keysAreDistributedEvenly(int size) {
        TargetPool pool = TestPools.idle(size);
        Map<String, Integer> counts = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            counts.merge(home(pool, key), 1, Integer::sum);
        }
        double mean = (double) KEYS / size;
        assertThat(counts).hasSize(size);
        assertThat(counts.values()).allMatch(count -> Math.abs(count - mean) < 5.5 * Math.sqrt(mean));
    }

    private static String home(TargetPool pool, int key) {
        return pool.order().walk(Hashing.mix(key)).next().name().value();
    }
}
