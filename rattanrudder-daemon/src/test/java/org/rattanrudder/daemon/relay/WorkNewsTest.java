package org.rattanrudder.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.Target;

/**
 * Twenty-seven relays learnt ten times a second what the others had sent, and filled the same free engine together: two
 * of three prompts met an engine whose memory was long full.
 */
class WorkNewsTest {
    private static final long NOW = 1_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<List<String>> told = new ArrayList<>();
    private final PlacementBroadcaster news = new PlacementBroadcaster(channel.eventLoop());

    @BeforeEach
    void listen() {
        channel.freezeTime();
        news.tellBy(targets -> told.add(targets.stream().map(Target::id).toList()));
    }

    private static Target engine(String id) {
        return KnownTargets.target(id, Map.of("m", 1L), NOW);
    }

    private void pass(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void aPlacementIsToldAtOnceTogetherWithOthersOfThatMoment() {
        Target first = engine("i-1");
        news.recordPlacement(first);
        pass(3);
        news.recordPlacement(engine("i-2"));
        news.recordPlacement(first);
        assertThat(told).isEmpty();

        pass(2);

        assertThat(told).containsExactly(List.of("i-1", "i-2"));
        pass(1_000);
        assertThat(told).hasSize(1);
    }

    @Test
    void theNextMomentIsToldByItself() {
        news.recordPlacement(engine("i-1"));
        pass(5);
        news.recordPlacement(engine("i-2"));
        pass(5);

        assertThat(told).containsExactly(List.of("i-1"), List.of("i-2"));
    }

    /** Servers of plain services say their load in each answer. */
    @Test
    void onlyEnginesAreTold() {
        news.recordPlacement(KnownTargets.target("i-plain", Map.of(), NOW));

        pass(1_000);

        assertThat(told).isEmpty();
    }
}
