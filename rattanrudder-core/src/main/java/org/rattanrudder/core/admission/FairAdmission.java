package org.rattanrudder.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Admits by priority, deadline and customer's share.
 *
 * <p>A request whose expected start lies after the last moment that meets its deadline is refused when it comes, or as
 * soon as that becomes known while it waits.
 *
 * @param <T> the type of what names a request
 */
public final class FairAdmission<T> implements Admission<T> {
    /**
     * A newcomer is taken only if its expected wait is at most this part of the time that it has. Others that come
     * after it may go first, and what is taken on and then given up was told late.
     */
    private static final double CAUTION = 0.5;

    /**
     * A request that waits is given up only when its expected wait is longer than the time left by this factor. The
     * estimate is a mean: giving up at the bare deadline would refuse some that would have made it.
     */
    private static final double PATIENCE = 1.25;

    /**
     * A newcomer is taken only if its first byte is expected within this part of the time that it has, by the rate at
     * which first bytes come.
     */
    private static final double FIRST_BYTE_CAUTION = 0.65;

    private final Map<T, Running<T>> running = new HashMap<>();
    private final Set<T> awaitingFirstByte = new HashSet<>();
    private final Map<T, AdmissionRequest<T>> applicants = new HashMap<>();
    private final ServiceTimes times = new ServiceTimes();
    private final FirstByteTimes firstBytes = new FirstByteTimes();
    private final LoadMeter meter = new LoadMeter();
    private final WaitingLine<T> line;
    private AdmissionLimits limits;
    private int lessUrgentRunning;

    /** Creates one with nothing running or waiting. */
    public FairAdmission(AdmissionLimits limits) {
        this.limits = limits;
        this.line = new FairLine<>(limits.queueLength());
    }

    @Override
    public void updateLimits(AdmissionLimits newLimits) {
        limits = newLimits;
        line.limit(newLimits.queueLength());
    }

    @Override
    public Decision<T> offer(AdmissionRequest<T> applicant, long nowMicros) {
        Ticket<T> ticket = ticket(applicant);
        long wait = waitMicros(ticket, nowMicros);
        if (isTooLate(ticket, applicant.deadlineMicros(), wait, nowMicros)) {
            return new Refused<>(Reason.TOO_LATE, wait);
        }
        applicants.put(ticket.item(), applicant);
        Optional<Ticket<T>> evicted = line.add(ticket);
        evicted.ifPresent(each -> applicants.remove(each.item()));
        noteWaiting(nowMicros);
        if (evicted.isPresent() && evicted.get() == ticket) {
            return new Refused<>(Reason.FULL, wait);
        }
        return new Queued<>(evicted.map(Ticket::item));
    }

    @Override
    public boolean wouldMissDeadline(AdmissionRequest<T> applicant, long nowMicros) {
        Ticket<T> ticket = ticket(applicant);
        return isTooLate(ticket, applicant.deadlineMicros(), waitMicros(ticket, nowMicros), nowMicros);
    }

    @Override
    public Optional<T> startNext(long nowMicros) {
        if (running.size() >= limits.slots()) {
            return Optional.empty();
        }
        boolean onlyUrgent = lessUrgentRunning >= limits.slots() - limits.reservedSlots();
        Optional<Ticket<T>> next = line.next(onlyUrgent ? limits.urgentPriority() : Integer.MAX_VALUE);
        if (next.isEmpty()) {
            return Optional.empty();
        }
        Ticket<T> ticket = next.get();
        String requestClass = applicants.remove(ticket.item()).requestClass();
        running.put(ticket.item(), new Running<>(ticket, requestClass, nowMicros));
        awaitingFirstByte.add(ticket.item());
        firstBytes.started(ticket.priority(), nowMicros);
        noteWaiting(nowMicros);
        lessUrgentRunning += ticket.priority() > limits.urgentPriority() ? 1 : 0;
        meter.started(ticket.priority(), ticket.costMicros(), nowMicros);
        return Optional.of(ticket.item());
    }

    @Override
    public void onFirstByte(T item, long nowMicros) {
        Running<T> started = running.get(item);
        if (started != null) {
            if (awaitingFirstByte.remove(item)) {
                firstBytes.firstByte(started.ticket().priority(), nowMicros);
            }
            times.firstByte(started.requestClass(), nowMicros - started.sinceMicros());
        }
    }

    @Override
    public void onFinished(T item, long nowMicros) {
        Running<T> ended = stop(item);
        if (ended != null) {
            long held = nowMicros - ended.sinceMicros();
            times.held(ended.requestClass(), held);
            line.charge(ended.ticket(), held - ended.ticket().costMicros());
        }
    }

    @Override
    public void cancel(T item) {
        if (stop(item) == null) {
            line.remove(item);
            applicants.remove(item);
        }
    }

    @Override
    public List<T> removeLate(long nowMicros) {
        List<T> late = new ArrayList<>();
        for (int priority : line.priorities()) {
            addLate(priority, late, nowMicros);
        }
        late.forEach(this::cancel);
        noteWaiting(nowMicros);
        return late;
    }

    @Override
    public List<T> removeAllQueued() {
        List<T> all = new ArrayList<>();
        for (int priority : line.priorities()) {
            line.inOrder(priority).forEach(ticket -> all.add(ticket.item()));
        }
        all.forEach(this::cancel);
        return all;
    }

    @Override
    public long expectedWaitMicros(int priority, long nowMicros) {
        return waitMicros(new Ticket<>(null, null, 1, priority, Long.MAX_VALUE, times.costMicros()), nowMicros);
    }

    @Override
    public int runningCount() {
        return running.size();
    }

    @Override
    public int queuedCount() {
        return line.size();
    }

    /**
     * Returns whether a newcomer is to be refused. One that can start now is always tried: its class may have been
     * measured in a bad moment, and if that refused it, nothing would ever correct the measurement.
     */
    private boolean isTooLate(Ticket<T> newcomer, long dueMicros, long waitMicros, long nowMicros) {
        if (waitMicros <= 0) {
            return false;
        }
        return waitMicros > CAUTION * (newcomer.startByMicros() - nowMicros)
                || firstByteMicros(newcomer) > FIRST_BYTE_CAUTION * (dueMicros - nowMicros);
    }

    /** Returns in how long a newcomer's first byte comes, by the rate at which they come; 0 if that isn't known. */
    private long firstByteMicros(Ticket<T> newcomer) {
        int priority = newcomer.priority();
        double work = line.workAheadMicros(newcomer);
        return work == 0
                ? firstBytes.expectedMicros(priority, 0)
                : firstBytes.expectedMicros(priority, line.size(priority) * work / line.workMicros(priority));
    }

    private void noteWaiting(long nowMicros) {
        firstBytes.waiting(priority -> line.size(priority) > 0, nowMicros);
    }

    private void addLate(int priority, List<T> late, long nowMicros) {
        Pace pace = pace(priority, nowMicros);
        long moreUrgent = line.moreUrgentMicros(priority);
        long longestWait = pace.waitMicros(moreUrgent, line.workMicros(priority));
        if (!isLate(longestWait, line.earliestStartMicros(priority) - nowMicros)) {
            return;
        }
        long same = 0;
        for (Ticket<T> ticket : line.inOrder(priority)) {
            if (isLate(pace.waitMicros(moreUrgent, same), ticket.startByMicros() - nowMicros)) {
                late.add(ticket.item());
            } else {
                same += ticket.costMicros();
            }
        }
    }

    private static boolean isLate(long waitMicros, long leftMicros) {
        return leftMicros < 0 || waitMicros > PATIENCE * leftMicros;
    }

    private Ticket<T> ticket(AdmissionRequest<T> applicant) {
        return new Ticket<>(
                applicant.item(),
                applicant.customer(),
                applicant.share(),
                applicant.priority(),
                applicant.deadlineMicros() - times.firstByteMicros(applicant.requestClass()),
                times.costMicros(applicant.requestClass()));
    }

    private Running<T> stop(T item) {
        Running<T> ended = running.remove(item);
        if (awaitingFirstByte.remove(item)) {
            firstBytes.left(ended.ticket().priority());
        }
        if (ended != null && ended.ticket().priority() > limits.urgentPriority()) {
            lessUrgentRunning--;
        }
        return ended;
    }

    private long waitMicros(Ticket<T> newcomer, long nowMicros) {
        if (running.size() < limits.slots() && line.size() == 0) {
            return 0;
        }
        int priority = newcomer.priority();
        long same = line.workAheadMicros(newcomer) + times.costMicros();
        return pace(priority, nowMicros).waitMicros(line.moreUrgentMicros(priority), same);
    }

    private Pace pace(int priority, long nowMicros) {
        double places = Math.max(1, limits.slots());
        double passedOn = line.hasLessUrgent(priority) ? places / FairLine.PARTS : 0;
        double left = places - passedOn - meter.placesBefore(priority, nowMicros);
        return new Pace(left, places / Math.pow(FairLine.PARTS, line.moreUrgentLevels(priority)));
    }

    private record Running<T>(Ticket<T> ticket, String requestClass, long sinceMicros) {}
}
