package org.rattanrudder.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.topics.LogPosition;

/**
 * Registry of the failure domains that operators have evacuated, built from a keyed log.
 *
 * <p>A record is applied only if its position is after that of the last one of its domain: after an outage the log
 * may return an older state for a while. An evacuation stays in force while the log is unavailable.
 *
 * <pre>{@code
 * evacuations.apply("north", true, position, now);
 * boolean evacuated = evacuations.isEvacuated("north");
 * }</pre>
 */
public final class Evacuations {
    /** A time before any other. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, State> domains = new HashMap<>();

    /**
     * The newest state of a domain.
     *
     * @param evacuated whether it is evacuated
     * @param position the position of its record
     * @param sinceMillis when this relay learned of it
     */
    private record State(boolean evacuated, LogPosition position, long sinceMillis) {}

    /** Creates a registry without evacuations. */
    public Evacuations() {}

    /**
     * Applies a record: whether a domain is evacuated. Returns whether that differs from the state before.
     *
     * @param position the position of the record
     * @param nowMillis the time of a monotonic clock
     */
    public boolean apply(String domain, boolean evacuated, LogPosition position, long nowMillis) {
        State last = domains.get(domain);
        if (last != null && !position.isAfter(last.position())) {
            return false;
        }
        boolean changed = evacuated != isEvacuated(domain);
        domains.put(domain, new State(evacuated, position, changed ? nowMillis : since(last, nowMillis)));
        return changed;
    }

    private static long since(State last, long nowMillis) {
        return last == null ? nowMillis : last.sinceMillis();
    }

    /**
     * Applies a full listing: ends the evacuations that aren't listed, unless their record is newer than the listing.
     * Returns the domains whose evacuation has ended.
     *
     * @param listed the domains that the listing says are evacuated
     * @param end the position at which the listing ends
     */
    public Set<String> applyListing(Set<String> listed, LogPosition end, long nowMillis) {
        Set<String> ended = evacuated().stream()
                .filter(domain -> !listed.contains(domain)
                        && domains.get(domain).position().isBefore(end))
                .collect(Collectors.toUnmodifiableSet());
        ended.forEach(domain -> domains.put(domain, new State(false, end.plus(-1), nowMillis)));
        return ended;
    }

    /** Returns whether a domain is evacuated: its targets get no requests. */
    public boolean isEvacuated(String domain) {
        State state = domains.get(domain);
        return state != null && state.evacuated();
    }

    /** Returns the evacuated domains. */
    public Set<String> evacuated() {
        return domains.entrySet().stream()
                .filter(entry -> entry.getValue().evacuated())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns when the last evacuation of a domain ended; {@link #NEVER} if there was none or it goes on. */
    long endedAt(String domain) {
        State state = domains.get(domain);
        return state == null || state.evacuated() ? NEVER : state.sinceMillis();
    }
}
