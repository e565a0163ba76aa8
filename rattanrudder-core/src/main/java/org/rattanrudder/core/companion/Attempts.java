package org.rattanrudder.core.companion;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.rattanrudder.core.model.AttemptId;

/** The attempts that this companion has accepted and not yet discarded, in the order in which they were accepted. */
final class Attempts {
    private final Map<AttemptId, Attempt> byId = new LinkedHashMap<>();

    void add(Attempt attempt) {
        byId.put(attempt.id(), attempt);
    }

    /** Returns the attempt, or null if it isn't known. */
    Attempt find(AttemptId id) {
        return byId.get(id);
    }

    void remove(Attempt attempt) {
        byId.remove(attempt.id());
    }

    /** Returns a copy of the matching attempts, so that the caller may remove attempts while iterating. */
    List<Attempt> matching(Predicate<Attempt> filter) {
        List<Attempt> found = new ArrayList<>();
        for (Attempt attempt : byId.values()) {
            if (filter.test(attempt)) {
                found.add(attempt);
            }
        }
        return found;
    }

    int size() {
        return byId.size();
    }
}
