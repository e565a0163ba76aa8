package org.rattanrudder.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.topics.LogPosition;

/**
 * The starts of targets that were removed lately, which an older copy of the log holds still.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
final class RemovedStarts {
    /** For how long a start is remembered: copies are some seconds old. */
    static final long KEPT_MILLIS = TimeUnit.MINUTES.toMillis(5);

    private static final long NOT_LISTED = -1;

    private final Map<String, Removed> removed = new HashMap<>();

    /** The era of the last complete listing, from 0. */
    private long listedEra = NOT_LISTED;

    private record Removed(long startedAt, long at) {}

    /** Handles that a target was removed. */
    void onRemoved(TargetRegistration last, long nowMillis) {
        removeOld(nowMillis);
        removed.put(last.id(), new Removed(last.startedAt(), nowMillis));
    }

    private void removeOld(long nowMillis) {
        removed.values().removeIf(each -> nowMillis - each.at() > KEPT_MILLIS);
    }

    /** Handles the end of a complete listing. */
    void onListed(LogPosition end) {
        listedEra = Math.max(listedEra, end.era());
    }

    /**
     * Returns whether a registration is one from before its target was removed: it stands in the copy from which an era
     * began. A target that is there registers again, behind the listing of the copy.
     */
    boolean isOutdated(TargetRegistration registration, LogPosition position, long nowMillis) {
        removeOld(nowMillis);
        Removed last = removed.get(registration.id());
        boolean copied = listedEra != NOT_LISTED && position.era() > listedEra;
        return last != null && copied && registration.startedAt() <= last.startedAt();
    }

    /** Handles that a target is there again. */
    void onRegistered(String id) {
        removed.remove(id);
    }
}
