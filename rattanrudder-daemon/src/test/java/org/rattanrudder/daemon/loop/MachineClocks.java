package org.rattanrudder.daemon.loop;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** The clocks of a machine that a test suspends, and whose time of day it changes. */
public final class MachineClocks implements ClockSource {
    private volatile long monotonicMillis = 5_000;
    private volatile long timeOfDayMillis = 900_000;
    private volatile long bootMillis = 40_000;
    private volatile boolean bootReadable = true;

    /** Run before the boot clock is read, once. */
    private volatile Runnable beforeBoot = () -> {};

    /** Passes time. */
    public void pass(long millis) {
        monotonicMillis += millis;
        suspend(millis);
    }

    /** Passes time that the monotonic clock doesn't count. */
    public void suspend(long millis) {
        timeOfDayMillis += millis;
        bootMillis += millis;
    }

    void jump(long millis) {
        timeOfDayMillis += millis;
    }

    void beforeBoot(Runnable task) {
        beforeBoot = task;
    }

    void hideBootClock() {
        bootReadable = false;
    }

    @Override
    public long monotonicNanos() {
        return TimeUnit.MILLISECONDS.toNanos(monotonicMillis);
    }

    @Override
    public long timeOfDayMillis() {
        return timeOfDayMillis;
    }

    @Override
    public OptionalLong bootMillis() {
        Runnable task = beforeBoot;
        beforeBoot = () -> {};
        task.run();
        return bootReadable ? OptionalLong.of(bootMillis) : OptionalLong.empty();
    }
}
