package org.rattanrudder.daemon.relay;

import java.util.Comparator;
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
final class FetchNews {
    private final Map<Address, StoreLateness> untold = new LinkedHashMap<>();

    /**
     * Notes the first byte of an answer whose prompt may have been read from stores. Its lateness is laid to the store
     * of the largest part: that one takes the longest, and the others come meanwhile.
     */
    void firstByte(TargetAttempt attempt, PartDirectory directory, long nowMillis) {
        double excess = attempt.firstPieceMillis() - attempt.outgoing().millisWithoutFetch();
        attempt.outgoing().forwarding().parts().sources().stream()
                .flatMap(Optional::stream)
                .max(Comparator.comparingInt(PartPlan.Source::tokens))
                .ifPresent(source -> {
                    StoreLateness one = StoreLateness.none(source.address()).with(excess);
                    directory.fetched(one, nowMillis);
                    untold.merge(source.address(), one, (known, added) -> known.with(excess));
                });
    }

    /** Hands out what was gathered, and begins anew. */
    List<StoreLateness> take() {
        List<StoreLateness> gathered = List.copyOf(untold.values());
        untold.clear();
        return gathered;
    }
}
