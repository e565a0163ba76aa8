package org.rattanrudder.daemon.loop;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** The clocks of a machine that a test suspends, and whose time of day it changes. */
final class MachineClocks implements ClockSource {
    private long monotonicMillis = 5_000;
    private long timeOfDayMillis = 900_000;
    private long bootMillis = 40_000;
    private boolean bootReadable = true;

    /** Run before the boot clock is read, once. */
    private Runnable beforeBoot = () -> {};

    void pass(long millis) {
        monotonicMillis += millis;
        suspend(millis);
    }

    void suspend(long millis) {
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
