package org.rattanrudder.daemon.relay;

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
 * Gathers how late this relay's fetches from each store were, for the other relays: one of many fetches too rarely to
 * notice in time that a store's link has turned slow.
 */
final class FetchLatenessRecorder {
    /** Rounds that are kept: those that are told more rarely hear of the newest of them only. */
    private static final int MOST_ROUNDS = 64;

    private final Map<Address, StoreLateness> current = new LinkedHashMap<>();
    private final Deque<List<StoreLateness>> rounds = new ArrayDeque<>();

    /**
     * Notes the first byte of an answer whose prompt may have been read from stores. Its lateness is laid to the store
     * of the largest part: that one takes the longest, and the others come meanwhile.
     */
    void recordFirstByte(TargetAttempt attempt, PartDirectory directory, long nowMillis) {
        double excess = attempt.firstPieceMillis() - attempt.outgoing().millisWithoutFetch();
        attempt.outgoing().forwarding().parts().sources().stream()
                .flatMap(Optional::stream)
                .max(Comparator.comparingInt(PartPlan.Source::tokens))
                .ifPresent(source -> {
                    StoreLateness one = StoreLateness.of(source.address(), excess);
                    directory.recordFetchLateness(one, nowMillis);
                    current.merge(source.address(), one, StoreLateness::plus);
                });
    }

    /** Begins a new round. */
    void nextRound() {
        rounds.addFirst(List.copyOf(current.values()));
        current.clear();
        if (rounds.size() > MOST_ROUNDS) {
            rounds.removeLast();
        }
    }

    /** Returns what was gathered in the newest rounds that have ended, so many of them. */
    List<StoreLateness> ofLast(int count) {
        Map<Address, StoreLateness> sums = new LinkedHashMap<>();
        rounds.stream()
                .limit(count)
                .flatMap(List::stream)
                .forEach(late -> sums.merge(late.store(), late, StoreLateness::plus));
        return List.copyOf(sums.values());
    }
}
