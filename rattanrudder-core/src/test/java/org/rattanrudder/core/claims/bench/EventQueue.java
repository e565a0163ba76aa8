package org.rattanrudder.core.claims.bench;

import java.util.PriorityQueue;

/** An event queue in simulated time: runs scheduled actions in order of their times. */
final class EventQueue {
    private final PriorityQueue<ScheduledEvent> scheduled = new PriorityQueue<>();
    private long now;
    private long nextNumber;

    private record ScheduledEvent(long atMicros, long number, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int order = Long.compare(atMicros, other.atMicros);
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }

    long now() {
        return now;
    }

    void schedule(long micros, Runnable action) {
        scheduled.add(new ScheduledEvent(now + micros, nextNumber++, action));
    }

    void runUntil(long untilMicros) {
        while (!scheduled.isEmpty() && scheduled.peek().atMicros() <= untilMicros) {
            ScheduledEvent next = scheduled.poll();
            now = next.atMicros();
            next.action().run();
        }
        now = untilMicros;
    }
}
