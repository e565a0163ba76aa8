package org.rattanrudder.daemon.relay.store;

import java.util.LinkedHashSet;
import java.util.Set;

/** Why records of which keys couldn't be read, as far as it was logged: a record may be rewritten again and again. */
final class LoggedReasons {
    /** The most that are remembered; the oldest are forgotten first. */
    static final int MAX_REMEMBERED = 256;

    private final Set<Entry> entries = new LinkedHashSet<>();

    private record Entry(String key, String reason) {}

    /** Adds a reason; returns whether it is new for the key. */
    boolean add(String key, String reason) {
        boolean added = entries.add(new Entry(key, reason));
        if (entries.size() > MAX_REMEMBERED) {
            entries.remove(entries.iterator().next());
        }
        return added;
    }
}
