package org.rattanrudder.standins.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that jumps from one thing to do to the next; the order of equal times is the order of planning. */
final class VirtualTime {
    private static final long MICROS = 1_000;

    private final PriorityQueue<Planned> planned =
            new PriorityQueue<>(Comparator.comparingLong(Planned::atMicros).thenComparingLong(Planned::number));
    private long nowMicros;
    private long numbers;

    private record Planned(long atMicros, long number, Runnable task) {}

    /** Returns the time, in microseconds. */
    long micros() {
        return nowMicros;
    }

    /** Returns the time, in whole milliseconds. */
    long millis() {
        return nowMicros / MICROS;
    }

    /** Plans something so many microseconds from now. */
    void after(long micros, Runnable task) {
        planned.add(new Planned(nowMicros + Math.max(0, micros), numbers++, task));
    }

    /** Plans something so many milliseconds from now. */
    void afterMillis(double millis, Runnable task) {
        after(Math.round(millis * MICROS), task);
    }

    /** Does all that is planned up to a time, in microseconds. */
    void runUntil(long untilMicros) {
        while (!planned.isEmpty() && planned.peek().atMicros() <= untilMicros) {
            Planned next = planned.remove();
            nowMicros = next.atMicros();
            next.task().run();
        }
        nowMicros = Math.max(nowMicros, untilMicros);
    }
}
