package org.rattanrudder.core.parts;

import java.util.HashMap;
import java.util.Map;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.routing.Hashing;

/** The known state of one store. */
final class StoreView {
    private final Map<PartKey, Integer> held = new HashMap<>();
    private final Map<PartKey, Long> pendingSaves = new HashMap<>();
    private final FetchDelay delay = new FetchDelay();
    private final long addressHash;
    private ContextStore store;
    private long incarnation;
    private long incarnationSince;
    private long updatedAt = Long.MIN_VALUE / 2;
    private long storeClockMillis;
    private long clockReadAt;
    private boolean clockKnown;
    private long usedTokens;

    StoreView(ContextStore store) {
        this.store = store;
        addressHash = Hashing.of(store.address().toString());
    }

    ContextStore store() {
        return store;
    }

    /** Returns a hash of the store's address. */
    long addressHash() {
        return addressHash;
    }

    void update(ContextStore newest) {
        store = newest;
    }

    void applyUpdate(StoreUpdate update, long requestedAt, long nowMillis) {
        if (update.incarnation() != incarnation) {
            incarnation = update.incarnation();
            incarnationSince = nowMillis;
            held.clear();
            pendingSaves.clear();
            usedTokens = 0;
        }
        // The update was true at some time between request and response; the earliest one is assumed.
        updatedAt = Math.max(requestedAt, updatedAt);
        update.clockMillis().ifPresent(clock -> {
            storeClockMillis = clock;
            clockReadAt = nowMillis;
            clockKnown = true;
        });
        update.events().forEach(this::apply);
    }

    private void apply(PartEvent event) {
        pendingSaves.remove(event.key());
        Integer before = event.held() ? held.put(event.key(), event.tokens()) : held.remove(event.key());
        usedTokens += (event.held() ? event.tokens() : 0) - (before == null ? 0 : before);
    }

    boolean isFresh(long nowMillis) {
        return nowMillis - updatedAt <= PartDirectory.FRESH_MILLIS;
    }

    boolean acceptsSaves(long nowMillis) {
        return isFresh(nowMillis) && nowMillis - incarnationSince >= PartDirectory.SETTLED_MILLIS;
    }

    FetchDelay delay() {
        return delay;
    }

    boolean hasClock() {
        return clockKnown;
    }

    /** Returns when a fetch that is planned now must end, by the store's clock, extrapolated from its last update. */
    long fetchUntil(long fetchMillis, long nowMillis) {
        long sincePlanned = storeClockMillis + (nowMillis - clockReadAt) + fetchMillis;
        return Math.min(storeClockMillis + PartDirectory.FETCH_AFTER_UPDATE_MILLIS, sincePlanned);
    }

    int tokens(PartKey key) {
        return held.getOrDefault(key, 0);
    }

    boolean isSavePending(PartKey key, long nowMillis) {
        return nowMillis < pendingSaves.getOrDefault(key, Long.MIN_VALUE);
    }

    void addPendingSave(PartKey key, long untilMillis) {
        pendingSaves.put(key, untilMillis);
    }

    boolean hasRoom(int tokens) {
        return usedTokens + tokens <= store.capacityTokens() * PartDirectory.MAX_FILL_SHARE;
    }

    long usedTokens() {
        return usedTokens;
    }

    Map<PartKey, Integer> held() {
        return held;
    }

    long incarnation() {
        return incarnation;
    }
}
