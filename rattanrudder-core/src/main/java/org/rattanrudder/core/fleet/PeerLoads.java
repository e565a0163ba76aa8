package org.rattanrudder.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.rattanrudder.core.fleet.RelayLoad.TargetLoad;

/**
 * What the other relays said of their work at the targets.
 *
 * <p>An engine's own report comes late and counts requests, not memory. Six relays that each believed a third of it
 * overfilled engines, which then preempted running requests and read their prompts again: 609 times on one day, 4.3 of
 * 15.6 million tokens read. What relays know of their own requests is exact, so they tell each other:
 * all of it at intervals, and at once what they have just sent, since relays that see the same free engine would else
 * fill it together.
 */
public final class PeerLoads {
    /** How long a relay's word counts, in ms: some messages may be lost, and a relay that died has no work. */
    public static final long VALID_MILLIS = 2_000;

    private final Map<String, Heard> relays = new HashMap<>();

    /** The work of all relays by target, as far as it was asked for since a part of it changed. */
    private final Map<String, TargetLoad> sums = new HashMap<>();

    private long forgottenAt = Long.MIN_VALUE;

    private record Heard(long atMillis, long sequence, boolean ready, Map<String, TargetLoad> targets) {}

    /** Takes a message; one that is older than what is known is dropped. */
    public void heard(RelayLoad load, long nowMillis) {
        Heard known = relays.get(load.relay());
        if (known != null && known.sequence() >= load.sequence()) {
            return;
        }
        if (load.whole()) {
            // Also what nobody has work at any more: targets come and go.
            sums.clear();
        }
        Map<String, TargetLoad> targets = load.whole() || known == null ? new HashMap<>() : known.targets();
        for (TargetLoad each : load.targets()) {
            targets.put(each.target(), each);
            sums.remove(each.target());
        }
        relays.put(load.relay(), new Heard(nowMillis, load.sequence(), load.ready(), targets));
    }

    /** Returns the other relays that were heard of lately. */
    public Set<String> relays(long nowMillis) {
        forget(nowMillis);
        return Set.copyOf(relays.keySet());
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
        if (relays.values().removeIf(heard -> nowMillis - heard.atMillis() > VALID_MILLIS)) {
            sums.clear();
        }
    }
}
