package org.rattanrudder.core.parts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.gateway.PromptPart;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.routing.Hashing;

/**
 * Tracks which stores hold which parts, from the events that the stores publish.
 *
 * <p>A store that restarts is empty, and a part may be saved there again while another relay still relies on the old
 * copy: an engine that fetches it would get a partially written part. Three rules prevent this. A relay plans fetches
 * only from a store with an update within {@link #FRESH_MILLIS}. Each fetch must end within {@link
 * #FETCH_AFTER_UPDATE_MILLIS} of that update by the store's own clock, which also covers a relay that was frozen. And
 * no relay saves to a new incarnation before {@link #SETTLED_MILLIS}, when all older state has expired.
 *
 * <p>A part counts as held only after its event, which stores publish once the part is complete.
 */
public final class PartDirectory {
    /** How long a store's update is valid: long enough for updates that a peer forwards, and for some that are lost. */
    static final long FRESH_MILLIS = 2_400;

    /**
     * How long after a store's update a fetch from it may end, including the time in the engine's queue. When this was
     * shorter than the queues under overload, each prompt was recomputed in full and the queues never shrank.
     */
    static final long FETCH_AFTER_UPDATE_MILLIS = 3_500;

    /**
     * How long after its request is sent a fetch may end at most. Requests that can be on time wait some hundred ms at
     * an engine; a part may be evicted only once no relay has planned to fetch it for this long.
     */
    public static final long FETCH_AFTER_SENT_MILLIS = 2_000;

    /** Minimum of the time for which an engine waits for a fetch: busy engines start fetches late. */
    private static final long MIN_FETCH_MILLIS = 1_000;

    /** How long an engine waits for a fetch, as a multiple of the objective; then it recomputes the part itself. */
    private static final double FETCH_OBJECTIVE_RATIO = 2;

    /** How long a new incarnation of a store gets no saves: longer than any fetch from the previous one can take. */
    static final long SETTLED_MILLIS = 4_000;

    /** How long a requested save may be pending before it is requested again. */
    private static final long SAVE_TIMEOUT_MILLIS = 4_000;

    /** The share of a store that is filled: stores drop saves beyond their capacity without an error. */
    static final double MAX_FILL_SHARE = 0.97;

    private static final double UNIT = 0x1.0p-53;
    private static final int UNIT_SHIFT = 11;

    private final Map<Address, StoreView> stores = new LinkedHashMap<>();

    /** Creates an empty directory. */
    public PartDirectory() {}

    /** Sets the configured stores and drops the state of all others. */
    public void configure(List<ContextStore> configured) {
        Map<Address, StoreView> kept = new LinkedHashMap<>();
        for (ContextStore store : configured) {
            StoreView view = stores.getOrDefault(store.address(), new StoreView(store));
            view.update(store);
            kept.put(store.address(), view);
        }
        stores.clear();
        stores.putAll(kept);
    }

    /** Applies an update of a store. */
    public void applyStoreUpdate(Address store, StoreUpdate update, long requestedAtMillis, long nowMillis) {
        StoreView view = stores.get(store);
        if (view != null) {
            view.applyUpdate(update, requestedAtMillis, nowMillis);
        }
    }

    /** Returns the total size of the parts that a store is known to hold, in tokens. */
    public long usedTokens(Address store) {
        StoreView view = stores.get(store);
        return view == null ? 0 : view.usedTokens();
    }

    /** Returns the parts of a store that no request fetches any more, since they belong to older weights. */
    public List<PartKey> outdatedParts(Address store, long oldestWeightsInUse) {
        StoreView view = stores.get(store);
        if (view == null) {
            return List.of();
        }
        return view.held().keySet().stream()
                .filter(key -> PartKey.weightVersion(key.salt())
                        .filter(version -> version < oldestWeightsInUse)
                        .isPresent())
                .toList();
    }

    /** Returns the incarnation in a store's last update; 0 if there was none. */
    public long incarnation(Address store) {
        StoreView view = stores.get(store);
        return view == null ? 0 : view.incarnation();
    }

    /**
     * Plans where the shared parts of a prompt are fetched and saved, and records the saves as pending.
     *
     * @param salt limits which requests may use the parts
     * @param parts the prompt in order; its last part isn't shared and is skipped
     * @param access what the request may do with parts in stores
     * @param objectiveMillis when the response should start, in ms from now; engines don't wait for fetches much longer
     * @param compute what computing the parts would take; empty to tolerate the same lateness for all prompts
     * @param domainAllowed whether parts may be saved in a failure domain
     */
    public PartPlan plan(
            String salt,
            List<PromptPart> parts,
            String engineDomain,
            PartAccess access,
            long objectiveMillis,
            Optional<ComputeEstimate> compute,
            Predicate<String> domainAllowed,
            long nowMillis) {
        if (parts.size() < 2 || stores.isEmpty()) {
            return PartPlan.NONE;
        }
        List<PromptPart> shared = parts.subList(0, parts.size() - 1);
        if (access == PartAccess.NONE) {
            return PartPlan.ofRetired(shared.size());
        }
        boolean saves = access == PartAccess.FETCH_AND_SAVE;
        List<Optional<PartPlan.Source>> sources = new ArrayList<>();
        List<Optional<Address>> destinations = new ArrayList<>();
        List<PartChoice> choices = new ArrayList<>();
        List<Optional<StoreView>> holders = shared.stream()
                .map(part -> holder(new PartKey(salt, part.id()), engineDomain, nowMillis))
                .toList();
        Map<StoreView, Boolean> allowed = allowedFetches(salt, shared, holders, compute, nowMillis);
        long fetchMillis = fetchMillis(objectiveMillis);
        long until = Long.MAX_VALUE;
        for (int i = 0; i < shared.size(); i++) {
            PromptPart part = shared.get(i);
            PartKey key = new PartKey(salt, part.id());
            Optional<StoreView> holder = holders.get(i);
            Optional<StoreView> read = holder.filter(allowed::get);
            sources.add(read.map(view -> new PartPlan.Source(view.store().address(), view.tokens(key))));
            Optional<Address> saved = holder.isPresent() || !saves
                    ? Optional.empty()
                    : chooseSaveStore(key, part.tokens(), domainAllowed, nowMillis);
            destinations.add(saved);
            boolean replaced = holder.isEmpty() && !saves;
            choices.add(replaced ? PartChoice.REPLACED : choice(key, part.tokens(), holder, read, saved, nowMillis));
            until = Math.min(
                    until,
                    read.map(view -> view.fetchUntil(fetchMillis, nowMillis)).orElse(Long.MAX_VALUE));
        }
        sources.add(Optional.empty());
        destinations.add(Optional.empty());
        OptionalLong untilMillis = until == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(until);
        return new PartPlan(sources, destinations, untilMillis, choices);
    }

    /** Decides for each store whether the prompt fetches from it; all parts that it holds are fetched together. */
    private Map<StoreView, Boolean> allowedFetches(
            String salt,
            List<PromptPart> shared,
            List<Optional<StoreView>> holders,
            Optional<ComputeEstimate> compute,
            long nowMillis) {
        Map<StoreView, Integer> tokens = new LinkedHashMap<>();
        for (int i = 0; i < shared.size(); i++) {
            PartKey key = new PartKey(salt, shared.get(i).id());
            holders.get(i).ifPresent(view -> tokens.merge(view, view.tokens(key), Integer::sum));
        }
        double baseline = baselineLateness(nowMillis);
        Map<StoreView, Boolean> allowed = new HashMap<>();
        tokens.forEach((view, held) -> {
            FetchTolerance tolerance =
                    compute.map(estimate -> estimate.tolerance(held)).orElse(FetchTolerance.FIXED);
            allowed.put(view, view.delay().tryFetch(tolerance, baseline, nowMillis));
        });
        return allowed;
    }

    /**
     * Limits the wait for a fetch: callers leave streams that don't start, and an engine that waits until then serves
     * none.
     */
    private static long fetchMillis(long objectiveMillis) {
        long wanted = (long) (FETCH_OBJECTIVE_RATIO * objectiveMillis);
        return Math.max(MIN_FETCH_MILLIS, Math.min(FETCH_AFTER_SENT_MILLIS, wanted));
    }

    private PartChoice choice(
            PartKey key,
            int tokens,
            Optional<StoreView> holder,
            Optional<StoreView> read,
            Optional<Address> saved,
            long nowMillis) {
        if (read.isPresent()) {
            return PartChoice.FETCHED;
        }
        if (holder.isPresent()) {
            return PartChoice.SLOW_STORE;
        }
        if (saved.isPresent()) {
            return PartChoice.SAVED;
        }
        if (stores.values().stream().anyMatch(view -> view.isSavePending(key, nowMillis))) {
            return PartChoice.BEING_SAVED;
        }
        List<StoreView> fresh =
                stores.values().stream().filter(view -> view.isFresh(nowMillis)).toList();
        if (fresh.isEmpty()) {
            return PartChoice.NO_STORE;
        }
        return fresh.stream().anyMatch(view -> view.hasRoom(tokens)) ? PartChoice.UNSETTLED : PartChoice.NO_ROOM;
    }

    /** Records by how much the first bytes of responses were late whose prompts fetched parts from a store. */
    public void recordFetchLateness(StoreLateness late, long nowMillis) {
        StoreView view = stores.get(late.store());
        if (view != null) {
            view.delay().record(late.samples(), late.meanMillis(), nowMillis);
        }
    }

    /** Returns the median lateness over all stores: busy engines make all responses late. */
    private double baselineLateness(long nowMillis) {
        double[] sorted = stores.values().stream()
                .mapToDouble(view -> view.delay().lateMillis(nowMillis))
                .sorted()
                .toArray();
        return stores.size() == 1 ? 0 : sorted[(sorted.length - 1) / 2];
    }

    private Optional<StoreView> holder(PartKey key, String engineDomain, long nowMillis) {
        return stores.values().stream()
                .filter(view -> view.tokens(key) > 0 && view.isFresh(nowMillis) && view.hasClock())
                .min(Comparator.comparingDouble(view -> transferMillis(view, key, engineDomain)));
    }

    private static double transferMillis(StoreView view, PartKey key, String engineDomain) {
        double doubled = view.store().failureDomain().equals(engineDomain) ? 1 : 2;
        return view.store().firstMillis()
                + doubled * view.tokens(key) / Math.max(1, view.store().linkMbps());
    }

    private Optional<Address> chooseSaveStore(
            PartKey key, int tokens, Predicate<String> domainAllowed, long nowMillis) {
        if (stores.values().stream().anyMatch(view -> view.isSavePending(key, nowMillis))) {
            return Optional.empty();
        }
        long part = Hashing.of(key.id());
        // All relays rank the stores for a part alike, weighted by capacity, so that the part is saved once.
        Optional<StoreView> chosen = stores.values().stream()
                .filter(view -> view.acceptsSaves(nowMillis) && view.hasRoom(tokens) && view.tokens(key) == 0)
                .filter(view -> domainAllowed.test(view.store().failureDomain()))
                .max(Comparator.comparingDouble(view -> rank(part, view)));
        chosen.ifPresent(view -> view.addPendingSave(key, nowMillis + SAVE_TIMEOUT_MILLIS));
        return chosen.map(view -> view.store().address());
    }

    private static double rank(long part, StoreView view) {
        long hash = Hashing.combine(part, view.addressHash());
        double uniform = ((hash >>> UNIT_SHIFT) + 0.5) * UNIT;
        return -view.store().capacityTokens() / Math.log(uniform);
    }
}
