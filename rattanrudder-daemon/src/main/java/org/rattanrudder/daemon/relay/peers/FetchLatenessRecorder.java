package org.rattanrudder.daemon.relay.peers;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartDirectory;
import org.rattanrudder.core.parts.PartPlan;
import org.rattanrudder.core.parts.StoreLateness;

/**
 * Records how late this relay's fetches from each store were, for its load reports. With many relays, one alone fetches
 * too rarely to detect in time that a store's link has become slow.
 */
public final class FetchLatenessRecorder {
    /** Limit of retained rounds; peers with longer report intervals get only the newest of their rounds. */
    private static final int MAX_ROUNDS = 64;

    private final Map<Address, StoreLateness> current = new LinkedHashMap<>();
    private final Deque<List<StoreLateness>> rounds = new ArrayDeque<>();

    /**
     * Records the first byte of an answer whose prompt may have been fetched from stores. Its lateness is attributed to
     * the store of the largest part, which takes the longest to fetch; the other parts arrive in the meantime.
     *
     * @param parts what was planned for the parts of the prompt
     * @param excess by how many ms the first byte came later than without fetching; negative if it came earlier
     */
    public void recordFirstByte(PartPlan parts, double excess, PartDirectory directory, long nowMillis) {
        parts.sources().stream()
                .flatMap(Optional::stream)
                .max(Comparator.comparingInt(PartPlan.Source::tokens))
                .ifPresent(source -> {
                    StoreLateness one = StoreLateness.of(source.address(), excess);
                    directory.recordFetchLateness(one, nowMillis);
                    current.merge(source.address(), one, StoreLateness::plus);
                });
    }

    /** Ends the current round and starts a new one. */
    void nextRound() {
        rounds.addFirst(List.copyOf(current.values()));
        current.clear();
        if (rounds.size() > MAX_ROUNDS) {
            rounds.removeLast();
        }
    }

    /** Returns the lateness by store, summed over this many of the newest finished rounds. */
    List<StoreLateness> sumOfLast(int count) {
        Map<Address, StoreLateness> sums = new LinkedHashMap<>();
        rounds.stream()
                .limit(count)
                .flatMap(List::stream)
                .forEach(late -> sums.merge(late.store(), late, StoreLateness::plus));
        return List.copyOf(sums.values());
    }
}
