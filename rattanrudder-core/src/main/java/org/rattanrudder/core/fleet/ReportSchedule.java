package org.rattanrudder.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Decides which other relays a relay tells of all its work, and when.
 *
 * <p>Few relays are told in each round. Of many, those of the same failure domain hear more often than others, since
 * they choose among the same targets; and the more relays there are the rarer each is told, so that a relay sends about
 * as many messages in a fleet of any size. Those that are told rarely take turns.
 *
 * <p>Times are milliseconds of a steady clock.
 */
public final class ReportSchedule {
    /** The time between two rounds, in ms: the age of what others know of work that has ended. */
    public static final long ROUND_MILLIS = 100;

    /** Up to so many other relays are told in each round. */
    private static final int FEW = 8;

    private static final long NEAR_MILLIS = 200;
    private static final long FAR_MILLIS = 800;

    /** What each relay of a group adds to the time between two messages to the same one, in ms: 50 a second at most. */
    private static final long MILLIS_PER_RELAY = 20;

    /**
     * A relay that fell silent is told when its turn comes first after so many rounds. One that isn't heard of yet may
     * have started just now, as all may after a loss of power: it has to be told before it tells.
     */
    private static final int SILENT_ROUNDS = 10;

    /** How long after its last message a relay is taken to be there, in ms. */
    public static final long SILENT_MILLIS = 5_000;

    private final Map<String, Other> others = new TreeMap<>();
    private long round;

    private static final class Other {
        private final String failureDomain;
        private final boolean near;
        private long heardAt = Long.MIN_VALUE / 2;
        private boolean told;

        Other(String failureDomain, boolean near) {
            this.failureDomain = failureDomain;
            this.near = near;
        }
    }

    /**
     * Relays that are due in a round.
     *
     * @param relays their names
     * @param intervalMillis the time until they are due again
     * @param intervalRounds the same in rounds
     */
    public record Due(List<String> relays, long intervalMillis, int intervalRounds) {
        /** Takes a copy of the names. */
        public Due {
            relays = List.copyOf(relays);
        }
    }

    /** Makes the schedule of a relay that knows no other. */
    public ReportSchedule() {}

    /** Takes a relay that is registered, or its new failure domain. */
    public void addRelay(String relay, String failureDomain, boolean near) {
        others.put(relay, new Other(failureDomain, near));
    }

    /** Drops a relay that isn't registered any more. */
    public void removeRelay(String relay) {
        others.remove(relay);
    }

    /** Notes a message of a relay. */
    public void onReport(String relay, long nowMillis) {
        Other other = others.get(relay);
        if (other != null) {
            other.heardAt = nowMillis;
        }
    }

    /** Returns whether a relay was heard of lately: others are told nothing but in their turns. */
    public boolean isLive(String relay, long nowMillis) {
        Other other = others.get(relay);
        return other != null && nowMillis - other.heardAt <= SILENT_MILLIS;
    }

    /** Returns the failure domains of the relays that were heard of lately, by name. */
    public Map<String, String> liveRelayDomains(long nowMillis) {
        return others.entrySet().stream()
                .filter(entry -> isLive(entry.getKey(), nowMillis))
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().failureDomain));
    }

    /** Begins the next round and returns who is told, in groups that are told equally often; none is empty. */
    public List<Due> nextRound(long nowMillis) {
        List<Due> due = others.size() <= FEW
                ? List.of(due(any -> true, ROUND_MILLIS, 0, nowMillis))
                : List.of(
                        due(other -> other.near, NEAR_MILLIS, MILLIS_PER_RELAY, nowMillis),
                        due(other -> !other.near, FAR_MILLIS, MILLIS_PER_RELAY, nowMillis));
        round++;
        return due.stream().filter(group -> !group.relays().isEmpty()).toList();
    }

    private Due due(Predicate<Other> group, long leastMillis, long millisPerRelay, long nowMillis) {
        List<String> names = others.entrySet().stream()
                .filter(entry -> group.test(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        long wanted = Math.max(leastMillis, millisPerRelay * names.size());
        int rounds = (int) ((wanted + ROUND_MILLIS - 1) / ROUND_MILLIS);
        boolean silentOnesToo = round / rounds % Math.max(1, SILENT_ROUNDS / rounds) == 0;
        List<String> relays = new ArrayList<>();
        for (int index = (int) (round % rounds); index < names.size(); index += rounds) {
            String name = names.get(index);
            Other other = others.get(name);
            if (silentOnesToo || !other.told || isLive(name, nowMillis)) {
                other.told = true;
                relays.add(name);
            }
        }
        return new Due(relays, rounds * ROUND_MILLIS, rounds);
    }
}
