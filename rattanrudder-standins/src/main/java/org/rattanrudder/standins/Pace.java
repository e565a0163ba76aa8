package org.rattanrudder.standins;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/** Holds bytes back to a rate that all who share it share. */
final class Pace {
    private final LongSupplier bytesPerSecond;
    private long freeAtNanos = System.nanoTime();

    /** Creates a pace; a rate of 0 is no limit. */
    Pace(LongSupplier bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Waits until the bytes may pass. */
    void take(int bytes) {
        waitUntil(reserve(bytes));
    }

    private synchronized long reserve(int bytes) {
        long now = System.nanoTime();
        long rate = bytesPerSecond.getAsLong();
        if (rate <= 0) {
            freeAtNanos = now;
            return now;
        }
        long start = freeAtNanos - now > 0 ? freeAtNanos : now;
        freeAtNanos = start + TimeUnit.SECONDS.toNanos(1) * bytes / rate;
        return freeAtNanos;
    }

    /** Waits until the given time of {@link System#nanoTime()}. */
    static void waitUntil(long nanoTime) {
        for (long left = nanoTime - System.nanoTime(); left > 0; left = nanoTime - System.nanoTime()) {
            LockSupport.parkNanos(left);
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
    }
}
