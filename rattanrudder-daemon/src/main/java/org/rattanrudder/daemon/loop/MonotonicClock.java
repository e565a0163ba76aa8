package org.rattanrudder.daemon.loop;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock: microseconds since its creation, not affected by changes of the wall clock. It doesn't count
 * suspensions of the machine, so nothing is permitted or forbidden by it: see {@link ProcessClock}.
 */
public final class MonotonicClock implements LongSupplier {
    private final long startNanos = System.nanoTime();

    @Override
    public long getAsLong() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    }
}
