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
     * @param millis the timeout
     * @param unsent returns whether answers are still waiting to be sent
     * @return whether all of it finished before the timeout
     */
    public boolean await(long millis, BooleanSupplier unsent) throws InterruptedException {
        return awaitEnd(millis, () -> drained.getCount() > 0 || unsent.getAsBoolean());
    }

    /**
     * Waits until something is over.
     *
     * @param millis the timeout
     * @return whether it was over before the timeout
     */
    public static boolean awaitEnd(long millis, BooleanSupplier goesOn) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (goesOn.getAsBoolean()) {
            if (System.nanoTime() - deadline >= 0) {
                return false;
            }
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
        return true;
    }
}
