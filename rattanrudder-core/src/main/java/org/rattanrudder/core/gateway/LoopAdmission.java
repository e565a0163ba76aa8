package org.rattanrudder.core.gateway;

/**
 * Decides whether a late event loop takes on another request.
 *
 * <p>A relay that has just started runs cold code, and more arrives than it can handle: each iteration of its loop
 * reads a second's requests, and all of them are late before the first is sent on. If it rejects what can't be on time,
 * which is cheap, the iterations become short, and what it then takes on is on time.
 *
 * <p>The length of iterations is measured by a probe: a task that is due after a short delay and runs late by the
 * length of the iterations that it waited for.
 */
public final class LoopAdmission {
    /**
     * Iterations that must fit into the objective: a request is read, started, sent once connected, and answered, and
     * the iterations get longer by what is taken on meanwhile.
     */
    private static final int ITERATIONS_PER_REQUEST = 6;

    /** Share of the last measure that is kept if the next one is smaller: iterations differ in what they find to do. */
    private static final double KEPT_SHARE = 0.7;

    private double iterationMillis;

    /** Creates an admission for a loop that isn't known to be late. */
    public LoopAdmission() {}

    /** Records by how many ms a probe ran late. */
    public void onProbe(long lateMillis) {
        iterationMillis = Math.max(lateMillis, KEPT_SHARE * iterationMillis);
    }

    /** Returns whether a request with the given objective, in ms, can be on time if it is taken on now. */
    public boolean admits(long objectiveMillis) {
        return ITERATIONS_PER_REQUEST * iterationMillis <= objectiveMillis;
    }

    /** Returns the length of the loop's iterations of late, in ms. */
    public long iterationMillis() {
        return Math.round(iterationMillis);
    }
}
