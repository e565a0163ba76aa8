package org.rattanrudder.daemon.loop;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.time.ClockDisturbance;
import org.rattanrudder.core.time.ElapsedTime;
import org.rattanrudder.core.time.EventTime;
import org.rattanrudder.core.time.Moment;

/**
 * The time of a process: the one place that decides how much has passed, see {@link ElapsedTime}. Safe for use by
 * several threads.
 */
public final class ProcessClock {
    /** The interval at which a process compares all clocks. */
    public static final long CHECK_INTERVAL_MILLIS = 500;

    /** Clocks that are read one after the other are taken for one moment if at most this much passes meanwhile. */
    private static final long MOMENT_MILLIS = 5;

    /** After so many attempts the thread is too busy to read its clocks at one moment; the next call tries again. */
    private static final int MAX_ATTEMPTS = 4;

    private final ClockSource source;
    private final long startNanos;
    private final ElapsedTime elapsed;
    private Consumer<ClockDisturbance> listener = unheard -> {};

    /** Creates a clock that counts from now on. */
    public ProcessClock(ClockSource source) {
        this.source = source;
        startNanos = source.monotonicNanos();
        elapsed = new ElapsedTime(
                TimeUnit.NANOSECONDS.toMillis(startNanos), source.timeOfDayMillis(), source.bootMillis());
    }

    /** Sets what is told of suspensions and of jumps of the time of day; it must not block. */
    public synchronized void setListener(Consumer<ClockDisturbance> heard) {
        listener = heard;
    }

    /** Compares all clocks; due now and then, so that the one that counts suspensions proves itself. */
    public synchronized void check() {
        readAll();
    }

    /** Returns the current moment. */
    public synchronized Moment now() {
        long monotonic = update();
        return new Moment(monotonic + elapsed.certainSurplusMillis(), monotonic + elapsed.possibleSurplusMillis());
    }

    /** Returns the time of an event that is handled now, since this clock was created. */
    public synchronized EventTime eventTime() {
        update();
        long monotonic = TimeUnit.NANOSECONDS.toMicros(source.monotonicNanos() - startNanos);
        return new EventTime(
                monotonic + TimeUnit.MILLISECONDS.toMicros(elapsed.certainSurplusMillis()),
                monotonic + TimeUnit.MILLISECONDS.toMicros(elapsed.possibleSurplusMillis()));
    }

    /** Returns the shortest time that may have passed since this clock was created, in microseconds. */
    public long atLeastMicros() {
        return eventTime().atLeastMicros();
    }

    /** Returns the shortest time that may have passed, in ms since some start: {@link Moment#atLeastMillis}. */
    public synchronized long atLeastMillis() {
        long monotonic = update();
        return monotonic + elapsed.certainSurplusMillis();
    }

    /** Returns the longest time that may have passed, in ms since some start: {@link Moment#atMostMillis}. */
    public synchronized long atMostMillis() {
        long monotonic = update();
        return monotonic + elapsed.possibleSurplusMillis();
    }

    /** Looks at the clocks, and returns the suspended time that has passed for certain, in ms. */
    public synchronized long suspendedMillis() {
        update();
        return elapsed.certainSurplusMillis();
    }

    /** Returns the suspended time that has passed for certain by the last look at the clocks, in ms. */
    public synchronized long certainSurplusMillis() {
        return elapsed.certainSurplusMillis();
    }

    /** Returns the suspended time that may have passed by the last look at the clocks, in ms. */
    public synchronized long possibleSurplusMillis() {
        return elapsed.possibleSurplusMillis();
    }

    /** Returns whether the clock that counts suspensions is believed against the time of day. */
    public synchronized boolean isBootClockBelieved() {
        return elapsed.isBootClockBelieved(TimeUnit.NANOSECONDS.toMillis(source.monotonicNanos()));
    }

    /**
     * Takes notice of what clocks say, and returns the time of the monotonic one, in ms. A pause between two readings
     * only makes the time of day seem further ahead, so readings that show nothing new need no third one.
     */
    private long update() {
        long before = monotonicMillis();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            long timeOfDay = source.timeOfDayMillis();
            if (elapsed.isCounted(before, timeOfDay)) {
                return before;
            }
            long after = monotonicMillis();
            if (after - before <= MOMENT_MILLIS) {
                if (!elapsed.isDisturbed(before, timeOfDay) || !readAll()) {
                    elapsed.follow(before, timeOfDay);
                }
                return after;
            }
            before = after;
        }
        return before;
    }

    /** Returns whether all clocks could be read at one moment. */
    private boolean readAll() {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            long before = monotonicMillis();
            long timeOfDayBefore = source.timeOfDayMillis();
            OptionalLong boot = source.bootMillis();
            long timeOfDay = source.timeOfDayMillis();
            if (monotonicMillis() - before <= MOMENT_MILLIS && Math.abs(timeOfDay - timeOfDayBefore) <= MOMENT_MILLIS) {
                elapsed.onReading(before, timeOfDay, boot).ifPresent(listener);
                return true;
            }
        }
        return false;
    }

    private long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(source.monotonicNanos());
    }
}
