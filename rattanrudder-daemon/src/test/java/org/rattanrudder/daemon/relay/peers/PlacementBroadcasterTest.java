package org.rattanrudder.daemon.relay.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.daemon.relay.targets.TestTargets;

/**
 * Guards against overfilled engines. With load reports ten times a second only, 27 relays filled the same free engine
 * together, and two of three prompts reached an engine whose memory was already full.
 */
class PlacementBroadcasterTest {
    private static final long NOW = 1_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<List<String>> broadcasts = new ArrayList<>();
    private final PlacementBroadcaster broadcaster = new PlacementBroadcaster(channel.eventLoop());

    @BeforeEach
    void setUp() {
        channel.freezeTime();
        broadcaster.setListener(
                targets -> broadcasts.add(targets.stream().map(Target::id).toList()));
    }

    private static Target engine(String id) {
        return TestTargets.target(id, Map.of("m", 1L), NOW);
    }

    private void advanceTime(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void placementsWithinABatchAreBroadcastOnceAndTogether() {
        Target first = engine("i-1");
        broadcaster.recordPlacement(first);
        advanceTime(3);
        broadcaster.recordPlacement(engine("i-2"));
        broadcaster.recordPlacement(first);
        assertThat(broadcasts).isEmpty();

        advanceTime(2);

        assertThat(broadcasts).containsExactly(List.of("i-1", "i-2"));
        advanceTime(1_000);
        assertThat(broadcasts).hasSize(1);
    }

    @Test
    void placementsAfterABatchAreBroadcastSeparately() {
        broadcaster.recordPlacement(engine("i-1"));
        advanceTime(5);
        broadcaster.recordPlacement(engine("i-2"));
        advanceTime(5);

        assertThat(broadcasts).containsExactly(List.of("i-1"), List.of("i-2"));
    }

    /** Servers of plain services report their load in each answer. */
    @Test
    void placementsAtPlainServicesAreNotBroadcast() {
        broadcaster.recordPlacement(TestTargets.target("i-plain", Map.of(), NOW));

        advanceTime(1_000);

        assertThat(broadcasts).isEmpty();
    }
}
