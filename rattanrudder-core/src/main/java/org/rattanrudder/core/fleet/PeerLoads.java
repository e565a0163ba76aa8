package org.rattanrudder.core.fleet;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;

/**
 * What the other relays said of their work at the targets.
 *
 * <p>An engine's own report comes late and counts requests, not memory. What relays know of their own requests is
 * exact, so they tell each other: all of it at intervals, and at once what they have just sent, since relays that see
 * the same free engine would else fill it together.
 */
public final class PeerLoads {
    /**
     * How long a relay's word counts at least, in ms: some messages may be lost, and a relay that died has no work. The
     * word of one that tells rarely counts for some of its messages.
     */
    public static final long VALID_MILLIS = 2_000;

    private static final int VALID_MESSAGES = 3;

    private final Map<String, Heard> relays = new HashMap<>();

    /** The work of all relays by target, as far as it was asked for since a part of it changed. */
    private final Map<String, TargetLoad> sums = new HashMap<>();

    private long forgottenAt = Long.MIN_VALUE;

    private record Heard(
            long atMillis, long sequence, boolean ready, long everyMillis, Map<String, TargetLoad> targets) {
        boolean isValid(long nowMillis) {
            return nowMillis - atMillis <= Math.max(VALID_MILLIS, VALID_MESSAGES * everyMillis);
        }
    }

    /** Takes a message; one that is older than what is known is dropped. */
    public void heard(LoadReport load, long nowMillis) {
        Heard known = relays.get(load.relay());
        if (known != null && known.sequence() >= load.sequence()) {
            return;
        }
        if (load.full()) {
            // Also what nobody has work at any more: targets come and go.
            sums.clear();
        }
        Map<String, TargetLoad> targets = load.full() || known == null ? new HashMap<>() : known.targets();
        for (TargetLoad each : load.targets()) {
            targets.put(each.target(), each);
            sums.remove(each.target());
        }
        long every = load.full() || known == null ? load.intervalMillis() : known.everyMillis();
        relays.put(load.relay(), new Heard(nowMillis, load.sequence(), load.ready(), every, targets));
    }

    /** Returns the other relays that were heard of lately. */
    public Set<String> relays(long nowMillis) {
        forget(nowMillis);
        return Collections.unmodifiableSet(relays.keySet());
    }

    /** Returns whether another relay takes new connections, as far as known. */
    public boolean anyReady(long nowMillis) {
        forget(nowMillis);
        return relays.values().stream().anyMatch(Heard::ready);
    }

    /** Returns how many other relays were heard of lately. */
    public int alive(long nowMillis) {
        forget(nowMillis);
        return relays.size();
    }

    /** Returns the work of all other relays at a target. */
    public TargetLoad at(String target, long nowMillis) {
        forget(nowMillis);
        return sums.computeIfAbsent(target, this::sum);
    }

    private TargetLoad sum(String target) {
        TargetLoad sum = TargetLoad.none(target);
        for (Heard heard : relays.values()) {
            TargetLoad load = heard.targets().get(target);
            sum = load == null ? sum : sum.plus(load);
        }
        return sum;
    }

    /** Forgets relays that fell silent; a placement asks for each target, all within the same ms. */
    private void forget(long nowMillis) {
        if (nowMillis == forgottenAt) {
            return;
        }
        forgottenAt = nowMillis;
        if (relays.values().removeIf(heard -> !heard.isValid(nowMillis))) {
            sums.clear();
        }
    }
}
