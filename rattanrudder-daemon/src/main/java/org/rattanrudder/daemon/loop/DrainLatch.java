package org.rattanrudder.daemon.loop;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits until a state machine has drained and its last answers have been sent. */
public final class DrainLatch {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final CountDownLatch drained = new CountDownLatch(1);

    /** Marks the state machine as drained. */
    public void onDrained() {
        drained.countDown();
    }

    /**
     * Waits until the state machine has drained and its last answers have left the process.
     *
     * @param seconds the timeout
     * @param unsent returns whether answers are still waiting to be sent
     * @return whether all of it finished before the timeout
     */
    public boolean await(int seconds, BooleanSupplier unsent) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        if (!drained.await(seconds, TimeUnit.SECONDS)) {
            return false;
        }
        while (unsent.getAsBoolean()) {
            if (System.nanoTime() >= deadline) {
                return false;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        return true;
    }
}
