package org.rattanrudder.core.routing;

/**
 * The result of a routing decision.
 *
 * @param target the chosen target
 * @param waitMicros the estimated wait at the target, in microseconds
 * @param contextMicros the estimated time to compute or fetch missing context, in microseconds
 * @param reason why the target was chosen, as one line for operators
 */
public record Route(RoutableTarget target, long waitMicros, long contextMicros, String reason) {
    /** Returns the estimated time to the first token in microseconds. */
    public long estimateMicros() {
        return waitMicros + contextMicros;
    }
}
