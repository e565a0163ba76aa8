package org.rattanrudder.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Admits requests by priority, deadline and the customer's share.
 *
 * <p>A request that is expected to start too late for its deadline is refused on arrival, or removed from the queue
 * as soon as this becomes known.
 *
 * @param <T> the type of a request's identifier
 */
public final class FairAdmission<T> implements Admission<T> {
    /**
     * A new request is queued only if its expected wait is at most this share of the time until its latest start.
     * Requests that arrive later may go first, and a request that is removed from the queue learns late that it is
     * refused.
     */
    private static final double MAX_WAIT_SHARE = 0.5;

    /**
     * A queued request is removed only if its expected wait exceeds the time until its latest start by this factor.
     * The estimate is a mean: with a factor of 1, some requests would be refused that would have started in time.
     */
    private static final double LATE_RATIO = 1.25;

    /**
     * A new request is queued only if its first byte is expected within this share of the time until its deadline,
     * at the measured rate of first bytes.
     */
    private static final double MAX_FIRST_BYTE_SHARE = 0.65;

    private final Map<T, Running<T>> running = new HashMap<>();
    private final Set<T> awaitingFirstByte = new HashSet<>();
    private final Map<T, AdmissionRequest<T>> queued = new HashMap<>();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final FirstByteEstimator firstByteEstimator = new FirstByteEstimator();
    private final LoadMeter loadMeter = new LoadMeter();
    private final RequestQueue<T> queue;
    private AdmissionLimits limits;
    private int lessUrgentRunning;

    /** Creates an admission without running or queued requests. */
    public FairAdmission(AdmissionLimits limits) {
        this.limits = limits;
        this.queue = new FairQueue<>(limits.queueLength());
    }

    @Override
    public void updateLimits(AdmissionLimits newLimits) {
        limits = newLimits;
        queue.setCapacity(newLimits.queueLength());
    }

    @Override
    public Decision<T> offer(AdmissionRequest<T> request, long nowMicros) {
        QueuedRequest<T> queuedRequest = queuedRequest(request);
        long wait = waitMicros(queuedRequest, nowMicros);
        if (isTooLate(queuedRequest, request.deadlineMicros(), wait, nowMicros)) {
            return new Refused<>(Reason.TOO_LATE, wait);
        }
        queued.put(queuedRequest.item(), request);
        Optional<QueuedRequest<T>> evicted = queue.add(queuedRequest);
        evicted.ifPresent(each -> queued.remove(each.item()));
        updateQueuedPriorities(nowMicros);
        if (evicted.isPresent() && evicted.get() == queuedRequest) {
            return new Refused<>(Reason.FULL, wait);
        }
        return new Queued<>(evicted.map(QueuedRequest::item));
    }

    @Override
    public boolean wouldMissDeadline(AdmissionRequest<T> request, long nowMicros) {
        QueuedRequest<T> queuedRequest = queuedRequest(request);
        return isTooLate(queuedRequest, request.deadlineMicros(), waitMicros(queuedRequest, nowMicros), nowMicros);
    }

    @Override
    public Optional<T> startNext(long nowMicros) {
        if (running.size() >= limits.slots()) {
            return Optional.empty();
        }
        boolean onlyUrgent = lessUrgentRunning >= limits.slots() - limits.reservedSlots();
        Optional<QueuedRequest<T>> next = queue.next(onlyUrgent ? limits.urgentPriority() : Integer.MAX_VALUE);
        if (next.isEmpty()) {
            return Optional.empty();
        }
        QueuedRequest<T> queuedRequest = next.get();
        String requestClass = queued.remove(queuedRequest.item()).requestClass();
        running.put(queuedRequest.item(), new Running<>(queuedRequest, requestClass, nowMicros));
        awaitingFirstByte.add(queuedRequest.item());
        firstByteEstimator.onStarted(queuedRequest.priority(), nowMicros);
        updateQueuedPriorities(nowMicros);
        lessUrgentRunning += queuedRequest.priority() > limits.urgentPriority() ? 1 : 0;
        loadMeter.onStarted(queuedRequest.priority(), queuedRequest.costMicros(), nowMicros);
        return Optional.of(queuedRequest.item());
    }

    @Override
    public void onFirstByte(T item, long nowMicros) {
        Running<T> started = running.get(item);
        if (started != null) {
            if (awaitingFirstByte.remove(item)) {
                firstByteEstimator.onFirstByte(started.request().priority(), nowMicros);
            }
            serviceTimes.recordFirstByte(started.requestClass(), nowMicros - started.startedMicros());
        }
    }

    @Override
    public void onFinished(T item, long nowMicros) {
        Running<T> ended = removeRunning(item);
        if (ended != null) {
            long held = nowMicros - ended.startedMicros();
            serviceTimes.recordHeld(ended.requestClass(), held);
            queue.charge(ended.request(), held - ended.request().costMicros());
        }
    }

    @Override
    public void cancel(T item) {
        if (removeRunning(item) == null) {
            queue.remove(item);
            queued.remove(item);
        }
    }

    @Override
    public List<T> removeLate(long nowMicros) {
        List<T> late = new ArrayList<>();
        for (int priority : queue.priorities()) {
            addLate(priority, late, nowMicros);
        }
        late.forEach(this::cancel);
        updateQueuedPriorities(nowMicros);
        return late;
    }

    @Override
    public List<T> removeAllQueued() {
        List<T> all = new ArrayList<>();
        for (int priority : queue.priorities()) {
            queue.inOrder(priority).forEach(queuedRequest -> all.add(queuedRequest.item()));
        }
        all.forEach(this::cancel);
        return all;
    }

    @Override
    public long expectedWaitMicros(int priority, long nowMicros) {
        return waitMicros(
                new QueuedRequest<>(null, null, 1, priority, Long.MAX_VALUE, serviceTimes.costMicros()), nowMicros);
    }

    @Override
    public int runningCount() {
        return running.size();
    }

    @Override
    public int queuedCount() {
        return queue.size();
    }

    /**
     * Returns whether a new request must be refused. One that can start now is always admitted: if an unusually slow
     * measurement of its class refused it, no later measurement could correct the estimate.
     */
    private boolean isTooLate(QueuedRequest<T> newRequest, long deadlineMicros, long waitMicros, long nowMicros) {
        if (waitMicros <= 0) {
            return false;
        }
        return waitMicros > MAX_WAIT_SHARE * (newRequest.startByMicros() - nowMicros)
                || expectedFirstByteMicros(newRequest) > MAX_FIRST_BYTE_SHARE * (deadlineMicros - nowMicros);
    }

    /**
     * Returns the expected time until a new request's first byte, at the measured rate of first bytes; 0 if unknown.
     */
    private long expectedFirstByteMicros(QueuedRequest<T> newRequest) {
        int priority = newRequest.priority();
        double work = queue.workAheadMicros(newRequest);
        return work == 0
                ? firstByteEstimator.expectedMicros(priority, 0)
                : firstByteEstimator.expectedMicros(priority, queue.size(priority) * work / queue.workMicros(priority));
    }

    private void updateQueuedPriorities(long nowMicros) {
        firstByteEstimator.updateQueued(priority -> queue.size(priority) > 0, nowMicros);
    }

    private void addLate(int priority, List<T> late, long nowMicros) {
        ServiceRate rate = serviceRate(priority, nowMicros);
        long moreUrgent = queue.moreUrgentWorkMicros(priority);
        long maxWait = rate.waitMicros(moreUrgent, queue.workMicros(priority));
        if (!isLate(maxWait, queue.earliestStartMicros(priority) - nowMicros)) {
            return;
        }
        long same = 0;
        for (QueuedRequest<T> queuedRequest : queue.inOrder(priority)) {
            if (isLate(rate.waitMicros(moreUrgent, same), queuedRequest.startByMicros() - nowMicros)) {
                late.add(queuedRequest.item());
            } else {
                same += queuedRequest.costMicros();
            }
        }
    }

    private static boolean isLate(long waitMicros, long leftMicros) {
        return leftMicros < 0 || waitMicros > LATE_RATIO * leftMicros;
    }

    private QueuedRequest<T> queuedRequest(AdmissionRequest<T> request) {
        return new QueuedRequest<>(
                request.item(),
                request.customer(),
                request.share(),
                request.priority(),
                request.deadlineMicros() - serviceTimes.firstByteMicros(request.requestClass()),
                serviceTimes.costMicros(request.requestClass()));
    }

    private Running<T> removeRunning(T item) {
        Running<T> ended = running.remove(item);
        if (awaitingFirstByte.remove(item)) {
            firstByteEstimator.onCancelled(ended.request().priority());
        }
        if (ended != null && ended.request().priority() > limits.urgentPriority()) {
            lessUrgentRunning--;
        }
        return ended;
    }

    private long waitMicros(QueuedRequest<T> newRequest, long nowMicros) {
        if (running.size() < limits.slots() && queue.size() == 0) {
            return 0;
        }
        int priority = newRequest.priority();
        long same = queue.workAheadMicros(newRequest) + serviceTimes.costMicros();
        return serviceRate(priority, nowMicros).waitMicros(queue.moreUrgentWorkMicros(priority), same);
    }

    private ServiceRate serviceRate(int priority, long nowMicros) {
        double slots = Math.max(1, limits.slots());
        double guaranteedToLessUrgent = queue.hasLessUrgent(priority) ? slots / FairQueue.GUARANTEED_SHARE_DIVISOR : 0;
        double available = slots - guaranteedToLessUrgent - loadMeter.slotsUsedByMoreUrgent(priority, nowMicros);
        return new ServiceRate(
                available, slots / Math.pow(FairQueue.GUARANTEED_SHARE_DIVISOR, queue.moreUrgentLevels(priority)));
    }

    private record Running<T>(QueuedRequest<T> request, String requestClass, long startedMicros) {}
}
