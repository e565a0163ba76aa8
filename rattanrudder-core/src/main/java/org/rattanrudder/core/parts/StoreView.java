package org.rattanrudder.core.parts;

import java.util.HashMap;
import java.util.Map;
import org.rattanrudder.core.gateway.ContextStore;
import org.rattanrudder.core.routing.Hashing;

/** What is known of one store. */
final class StoreView {
    private final Map<PartKey, Integer> held = new HashMap<>();
    private final Map<PartKey, Long> saving = new HashMap<>();
    private final FetchDelay delay = new FetchDelay();
    private final long addressHash;
    private ContextStore store;
    private long incarnation;
    private long incarnationSince;
    private long heardAt = Long.MIN_VALUE / 2;
    private long clockAtAnswer;
    private long answeredAt;
    private boolean clockKnown;
    private long usedTokens;

    StoreView(ContextStore store) {
        this.store = store;
        addressHash = Hashing.of(store.address().toString());
    }

    ContextStore store() {
        return store;
    }

    /** Returns a hash of its address. */
    long addressHash() {
        return addressHash;
    }

    void update(ContextStore newest) {
        store = newest;
    }

    void heard(StoreUpdate news, long askedAt, long nowMillis) {
        if (news.incarnation() != incarnation) {
            incarnation = news.incarnation();
            incarnationSince = nowMillis;
            held.clear();
            saving.clear();
            usedTokens = 0;
        }
        // What the answer says was true at some time since it was asked for; the earliest is taken.
        heardAt = Math.max(askedAt, heardAt);
        news.clockMillis().ifPresent(clock -> {
            clockAtAnswer = clock;
            answeredAt = nowMillis;
            clockKnown = true;
        });
        news.events().forEach(this::apply);
    }

    private void apply(PartEvent event) {
        saving.remove(event.key());
        Integer before = event.held() ? held.put(event.key(), event.tokens()) : held.remove(event.key());
        usedTokens += (event.held() ? event.tokens() : 0) - (before == null ? 0 : before);
    }

    boolean isFresh(long nowMillis) {
        return nowMillis - heardAt <= PartDirectory.FRESH_MILLIS;
    }

    boolean mayTakeSaves(long nowMillis) {
        return isFresh(nowMillis) && nowMillis - incarnationSince >= PartDirectory.SETTLED_MILLIS;
    }

    FetchDelay delay() {
        return delay;
    }

    boolean hasClock() {
        return clockKnown;
    }

    /** Returns until when a fetch that is planned now may end, on the store's clock, which has run on since. */
    long fetchUntil(long fetchMillis, long nowMillis) {
        long sincePlanned = clockAtAnswer + (nowMillis - answeredAt) + fetchMillis;
        return Math.min(clockAtAnswer + PartDirectory.FETCH_MILLIS, sincePlanned);
    }

    int tokens(PartKey key) {
        return held.getOrDefault(key, 0);
    }

    boolean isSaving(PartKey key, long nowMillis) {
        return nowMillis < saving.getOrDefault(key, Long.MIN_VALUE);
    }

    void saving(PartKey key, long untilMillis) {
        saving.put(key, untilMillis);
    }

    boolean hasRoom(int tokens) {
        return usedTokens + tokens <= store.capacityTokens() * PartDirectory.FULL_SHARE;
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
