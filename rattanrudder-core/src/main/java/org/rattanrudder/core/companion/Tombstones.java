package org.rattanrudder.core.companion;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.RunState;

/**
 * Records the attempts that have ended, so that a late or duplicate dispatch of one doesn't run.
 *
 * <p>Without tombstones a caller could receive "not run" and a delayed duplicate of the dispatch run afterwards, or an
 * answered attempt could run twice. Their number is limited: the oldest is evicted and merged into a floor for its
 * entry. Since each entry numbers its attempts in ascending order, every attempt at or below the floor that has no
 * tombstone is refused: as not run if it is above the floor of attempts that may have run, otherwise as unknown.
 */
final class Tombstones {
    /** Maximum number of ended attempts with a tombstone. */
    static final int MAX_ATTEMPTS = 32_768;

    /** Maximum number of entry incarnations with a floor. */
    static final int MAX_ENTRIES = 4_096;

    private final int maxAttempts;
    private final Map<AttemptId, ErrorKind> ended = new LinkedHashMap<>();
    private final Map<Long, Floor> floors = new LinkedHashMap<>();

    Tombstones() {
        this(MAX_ATTEMPTS);
    }

    Tombstones(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    /**
     * Records how an attempt ended. A kind whose run state is {@link RunState#NOT_RUN} guarantees that it never ran.
     */
    void add(AttemptId attempt, ErrorKind kind) {
        ended.putIfAbsent(attempt, kind);
        if (ended.size() <= maxAttempts) {
            return;
        }
        Iterator<Map.Entry<AttemptId, ErrorKind>> oldest = ended.entrySet().iterator();
        Map.Entry<AttemptId, ErrorKind> evicted = oldest.next();
        oldest.remove();
        raiseFloor(evicted.getKey(), evicted.getValue());
    }

    /** Returns how an attempt ended that must not run any more; empty if it may run. */
    Optional<ErrorKind> find(AttemptId attempt) {
        ErrorKind kind = ended.get(attempt);
        if (kind != null) {
            return Optional.of(kind);
        }
        Floor floor = floors.get(attempt.entryIncarnation());
        if (floor == null || attempt.sequence() > floor.maxEndedSequence) {
            return Optional.empty();
        }
        return Optional.of(
                attempt.sequence() > floor.maxRunSequence ? ErrorKind.STALE_INCARNATION : ErrorKind.OUTCOME_UNKNOWN);
    }

    int size() {
        return ended.size();
    }

    private void raiseFloor(AttemptId attempt, ErrorKind kind) {
        Floor floor = floors.computeIfAbsent(attempt.entryIncarnation(), incarnation -> new Floor());
        floor.maxEndedSequence = Math.max(floor.maxEndedSequence, attempt.sequence());
        if (kind.runState() != RunState.NOT_RUN) {
            floor.maxRunSequence = Math.max(floor.maxRunSequence, attempt.sequence());
        }
        if (floors.size() > MAX_ENTRIES) {
            Iterator<Long> oldest = floors.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private static final class Floor {
        private long maxEndedSequence;
        private long maxRunSequence;
    }
}
