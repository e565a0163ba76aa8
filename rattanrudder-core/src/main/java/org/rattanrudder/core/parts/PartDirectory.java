package org.rattanrudder.core.parts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.gateway.PromptPart;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.routing.Hashing;

/**
 * Which stores hold which parts, from the events that they publish.
 *
 * <p>A store that restarts is empty, and a part may then be saved there again while another gateway still believes in
 * the old copy: an engine that reads it would get what is only half written. Three guards close that window. A gateway
 * plans reads only from a store that it has heard of within {@link #FRESH_MILLIS}; each fetch must have ended within
 * {@link #FETCH_MILLIS} of that, on the store's own clock, which also holds for a gateway that was frozen; and nobody
 * saves to a new incarnation before {@link #SETTLED_MILLIS}, when all older beliefs have run out.
 *
 * <p>A part counts as held only from its event on, which stores publish when it is complete.
 */
public final class PartDirectory {
    /** How long what a store said is believed, in ms: news that another relay tells, and some that are lost. */
    static final long FRESH_MILLIS = 2_400;

    /**
     * How long after a store's answer a fetch from it may still end, in ms. The time in the engine's queue counts: when
     * this was shorter than the queues of an overload, each prompt was read in full and the queues never shrank.
     */
    static final long FETCH_MILLIS = 3_500;

    /**
     * How long after its request is sent a fetch may still end at most, in ms. Requests that can be on time wait some
     * hundred ms at an engine; whatever is freed must be left alone by all for this long first.
     */
    public static final long FETCH_AFTER_SENT_MILLIS = 2_000;

    /** The same at least, in ms: engines that are busy begin fetches late. */
    private static final long LEAST_FETCH_MILLIS = 1_000;

    /** How long a fetch is waited for, as a multiple of the objective; then the engine reads the prompt itself. */
    private static final double FETCH_OBJECTIVES = 2;

    /** How long a new incarnation of a store takes no saves, in ms: longer than any fetch from the one before. */
    static final long SETTLED_MILLIS = 4_000;

    /** How long a save that was asked for is waited for before it is asked for again, in ms. */
    private static final long SAVE_MILLIS = 4_000;

    /** The share of a store that is filled; saves beyond its room would be lost without a word. */
    static final double FULL_SHARE = 0.97;

    private static final double UNIT = 0x1.0p-53;
    private static final int UNIT_SHIFT = 11;

    private final Map<Address, StoreView> stores = new LinkedHashMap<>();

    /** Makes an empty directory. */
    public PartDirectory() {}

    /** Takes the stores that a configuration names; what is known of others is dropped. */
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

    /** Takes what a store answered. */
    public void applyStoreUpdate(Address store, StoreUpdate news, long askedAtMillis, long nowMillis) {
        StoreView view = stores.get(store);
        if (view != null) {
            view.heard(news, askedAtMillis, nowMillis);
        }
    }

    /** Returns how many tokens the parts that a store is known to hold have. */
    public long usedTokens(Address store) {
        StoreView view = stores.get(store);
        return view == null ? 0 : view.usedTokens();
    }

    /** Returns the parts of a store that no request reads any more, since they belong to older weights. */
    public List<PartKey> outdatedParts(Address store, long oldestWeightsInUse) {
        StoreView view = stores.get(store);
        if (view == null) {
            return List.of();
        }
        return view.held().keySet().stream()
                .filter(key -> PartKey.weightVersion(key.salt())
                        .filter(made -> made < oldestWeightsInUse)
                        .isPresent())
                .toList();
    }

    /** Returns the incarnation in which a store last answered; 0 if it never did. */
    public long incarnation(Address store) {
        StoreView view = stores.get(store);
        return view == null ? 0 : view.incarnation();
    }

    /**
     * Plans where the shared parts of a prompt are read and saved, and notes the saves as under way.
     *
     * @param salt who may use them
     * @param parts the prompt in order; the last part is its own and is left alone
     * @param saves whether what no store holds is saved; it isn't worth its room under weights that are being replaced
     * @param objectiveMillis until when the answer should begin, in ms: no fetch is waited for much longer
     */
    public PartPlan plan(
            String salt,
            List<PromptPart> parts,
            String engineDomain,
            boolean saves,
            long objectiveMillis,
            long nowMillis) {
        if (parts.size() < 2 || stores.isEmpty()) {
            return PartPlan.NONE;
        }
        List<Optional<PartPlan.Source>> sources = new ArrayList<>();
        List<Optional<Address>> targets = new ArrayList<>();
        List<PartChoice> choices = new ArrayList<>();
        Map<StoreView, Boolean> allowed = new HashMap<>();
        double usual = usualLateness(nowMillis);
        long fetchMillis = fetchMillis(objectiveMillis);
        long until = Long.MAX_VALUE;
        for (PromptPart part : parts.subList(0, parts.size() - 1)) {
            PartKey key = new PartKey(salt, part.id());
            Optional<StoreView> holder = holder(key, engineDomain, nowMillis);
            Optional<StoreView> read = holder.filter(
                    view -> allowed.computeIfAbsent(view, asked -> asked.delay().takeTurn(usual, nowMillis)));
            sources.add(read.map(view -> new PartPlan.Source(view.store().address(), view.tokens(key))));
            Optional<Address> saved =
                    holder.isPresent() || !saves ? Optional.empty() : saveAt(key, part.tokens(), nowMillis);
            targets.add(saved);
            boolean replaced = holder.isEmpty() && !saves;
            choices.add(replaced ? PartChoice.REPLACED : choice(key, part.tokens(), holder, read, saved, nowMillis));
            until = Math.min(
                    until,
                    read.map(view -> view.fetchUntil(fetchMillis, nowMillis)).orElse(Long.MAX_VALUE));
        }
        sources.add(Optional.empty());
        targets.add(Optional.empty());
        OptionalLong untilMillis = until == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(until);
        return new PartPlan(sources, targets, untilMillis, choices);
    }

    /** Callers leave streams that don't begin; an engine that waits for a store until then serves nobody. */
    private static long fetchMillis(long objectiveMillis) {
        long wanted = (long) (FETCH_OBJECTIVES * objectiveMillis);
        return Math.max(LEAST_FETCH_MILLIS, Math.min(FETCH_AFTER_SENT_MILLIS, wanted));
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
        if (stores.values().stream().anyMatch(view -> view.isSaving(key, nowMillis))) {
            return PartChoice.BEING_SAVED;
        }
        List<StoreView> fresh =
                stores.values().stream().filter(view -> view.isFresh(nowMillis)).toList();
        if (fresh.isEmpty()) {
            return PartChoice.NO_STORE;
        }
        return fresh.stream().anyMatch(view -> view.hasRoom(tokens)) ? PartChoice.UNSETTLED : PartChoice.NO_ROOM;
    }

    /** Notes by how much the first bytes of answers were late whose prompts were read from a store. */
    public void recordFetchLateness(StoreLateness late, long nowMillis) {
        StoreView view = stores.get(late.store());
        if (view != null) {
            view.delay().observed(late.samples(), late.meanMillis(), nowMillis);
        }
    }

    /** Returns how late answers are with the store in the middle of all: busy engines make all of them late. */
    private double usualLateness(long nowMillis) {
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

    private Optional<Address> saveAt(PartKey key, int tokens, long nowMillis) {
        if (stores.values().stream().anyMatch(view -> view.isSaving(key, nowMillis))) {
            return Optional.empty();
        }
        long part = Hashing.of(key.id());
        // All gateways rank the stores of a part alike, in proportion to their room, so that it is saved once.
        Optional<StoreView> chosen = stores.values().stream()
                .filter(view -> view.mayTakeSaves(nowMillis) && view.hasRoom(tokens) && view.tokens(key) == 0)
                .max(Comparator.comparingDouble(view -> rank(part, view)));
        chosen.ifPresent(view -> view.saving(key, nowMillis + SAVE_MILLIS));
        return chosen.map(view -> view.store().address());
    }

    private static double rank(long part, StoreView view) {
        long hash = Hashing.combine(part, view.addressHash());
        double uniform = ((hash >>> UNIT_SHIFT) + 0.5) * UNIT;
        return -view.store().capacityTokens() / Math.log(uniform);
    }
}
