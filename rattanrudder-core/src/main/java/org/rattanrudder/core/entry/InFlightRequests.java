package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;

/** The requests in flight and their scheduled checks. */
final class InFlightRequests {
    private final Map<Long, InFlightRequest> requests = new HashMap<>();
    private final PriorityQueue<ScheduledCheck> scheduledChecks = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledCheck::micros).thenComparingLong(ScheduledCheck::sequence));

    private record ScheduledCheck(long micros, long sequence) {}

    void add(InFlightRequest inFlight) {
        requests.put(inFlight.sequence, inFlight);
    }

    void remove(InFlightRequest inFlight) {
        requests.remove(inFlight.sequence);
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    int size() {
        return requests.size();
    }

    Optional<InFlightRequest> bySequence(long sequence) {
        return Optional.ofNullable(requests.get(sequence));
    }

    /**
     * Returns the request whose current attempt this is and was sent to this companion.
     *
     * <p>Otherwise frames could end up in another request's answer: frames of an abandoned attempt, of an earlier
     * incarnation of this entry that used the same sequence numbers, or from a companion that doesn't have the attempt.
     */
    Optional<InFlightRequest> byAttempt(AttemptId attempt, Address companion) {
        return bySequence(attempt.sequence())
                .filter(inFlight -> attempt.equals(inFlight.attempt))
                .filter(inFlight -> companion.equals(inFlight.companion()));
    }

    /** Returns the requests whose current attempt was sent to this companion, in the order of their arrival. */
    List<InFlightRequest> withCompanion(Address companion) {
        return matching(inFlight -> companion.equals(inFlight.companion()));
    }

    /** Returns the requests that match, in the order of their arrival. */
    List<InFlightRequest> matching(Predicate<InFlightRequest> condition) {
        return requests.values().stream()
                .filter(condition)
                .sorted(Comparator.comparingLong(inFlight -> inFlight.sequence))
                .toList();
    }

    /** Schedules a check of the request unless an earlier one is already scheduled. */
    void scheduleCheck(InFlightRequest inFlight, long micros) {
        if (micros < inFlight.nextCheckMicros) {
            inFlight.nextCheckMicros = micros;
            scheduledChecks.add(new ScheduledCheck(micros, inFlight.sequence));
        }
    }

    /** Removes the checks that are due and returns their requests. */
    List<InFlightRequest> pollDue(long nowMicros) {
        List<InFlightRequest> due = new ArrayList<>();
        while (!scheduledChecks.isEmpty() && scheduledChecks.peek().micros() <= nowMicros) {
            ScheduledCheck check = scheduledChecks.poll();
            InFlightRequest inFlight = requests.get(check.sequence());
            if (inFlight != null && inFlight.nextCheckMicros == check.micros()) {
                inFlight.nextCheckMicros = Long.MAX_VALUE;
                due.add(inFlight);
            }
        }
        return due;
    }
}
