package org.rattanrudder.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The newest named version of each model's weights, and since when.
 *
 * <p>No request may begin on older weights a while after newer ones were named. A relay that was restarted or frozen in
 * between would count from a later moment than the others, and go on sending requests to engines with old weights when
 * that is long forbidden. Relays therefore tell each other for how long they have known a version; the longest counts.
 *
 * <p>Times are milliseconds of a steady clock.
 */
public final class NamedVersions {
    private final Map<String, Named> newest = new HashMap<>();

    /**
     * A version that was named.
     *
     * @param version the version
     * @param sinceMillis when it was named at the latest
     */
    public record Named(long version, long sinceMillis) {}

    /** Notes a version; returns whether it is newer than what was known. */
    public boolean named(String model, long version, long nowMillis) {
        Named known = newest.get(model);
        if (known != null && known.version() >= version) {
            return false;
        }
        newest.put(model, new Named(version, nowMillis));
        return true;
    }

    /** Notes for how long another relay has known a version; versions that aren't known here yet are left alone. */
    public void known(String model, long version, long ageMillis, long nowMillis) {
        Named known = newest.get(model);
        if (known != null && known.version() == version && known.sinceMillis() > nowMillis - ageMillis) {
            newest.put(model, new Named(version, nowMillis - ageMillis));
        }
    }

    /** Returns the newest version of a model. */
    public Optional<Named> newest(String model) {
        return Optional.ofNullable(newest.get(model));
    }

    /** Returns the newest version of each model. */
    public Map<String, Named> all() {
        return Map.copyOf(newest);
    }
}
