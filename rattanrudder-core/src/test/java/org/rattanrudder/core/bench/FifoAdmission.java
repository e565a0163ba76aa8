package org.rattanrudder.core.bench;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.admission.Admission;
import org.rattanrudder.core.admission.AdmissionLimits;
import org.rattanrudder.core.admission.AdmissionRequest;

/** First-in-first-out admission with a bounded queue, as a baseline. */
final class FifoAdmission<T> implements Admission<T> {
    private final ArrayDeque<T> queue = new ArrayDeque<>();
    private final Set<T> running = new HashSet<>();
    private AdmissionLimits limits;

    FifoAdmission(AdmissionLimits limits) {
        this.limits = limits;
    }

    @Override
    public void updateLimits(AdmissionLimits newLimits) {
        limits = newLimits;
    }

    @Override
    public Decision<T> offer(AdmissionRequest<T> applicant, long nowMicros) {
        if (queue.size() >= limits.queueLength()) {
            return new Refused<>(Reason.FULL, 0);
        }
        queue.add(applicant.item());
        return new Queued<>(Optional.empty());
    }

    @Override
    public boolean wouldMissDeadline(AdmissionRequest<T> applicant, long nowMicros) {
        return false;
    }

    @Override
    public Optional<T> startNext(long nowMicros) {
        if (running.size() >= limits.slots() || queue.isEmpty()) {
            return Optional.empty();
        }
        running.add(queue.peek());
        return Optional.of(queue.remove());
    }

    @Override
    public void onFirstByte(T item, long nowMicros) {}

    @Override
    public void onFinished(T item, long nowMicros) {
        running.remove(item);
    }

    @Override
    public void cancel(T item) {
        if (!running.remove(item)) {
            queue.remove(item);
        }
    }

    @Override
    public List<T> removeLate(long nowMicros) {
        return List.of();
    }

    @Override
    public List<T> removeAllQueued() {
        List<T> all = List.copyOf(queue);
        queue.clear();
        return all;
    }

    @Override
    public long expectedWaitMicros(int priority, long nowMicros) {
        return 0;
    }

    @Override
    public int runningCount() {
        return running.size();
    }

    @Override
    public int queuedCount() {
        return queue.size();
    }
}
