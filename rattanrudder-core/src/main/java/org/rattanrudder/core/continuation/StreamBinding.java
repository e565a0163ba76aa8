package org.rattanrudder.core.continuation;

import java.util.Optional;

/**
 * Binds one stream to the software that sent its first event.
 *
 * <p>What two versions of a target's software write doesn't fit together, and targets don't check which of them began a
 * stream. Before the first event any target may serve the request. After it only targets that run the same software
 * may, and none if it isn't known which software that was.
 */
public final class StreamBinding {
    private boolean begun;
    private Optional<StreamOrigin> origin = Optional.empty();

    /** Creates a binding of a stream that hasn't begun. */
    public StreamBinding() {}

    /**
     * Records what sent the first event; has no effect on a stream that has begun before.
     *
     * @param by the software that sent it; empty if it isn't known
     */
    public void onBegun(Optional<StreamOrigin> by) {
        if (!begun) {
            begun = true;
            origin = by;
        }
    }

    /** Returns whether the caller has an event of the stream. */
    public boolean hasBegun() {
        return begun;
    }

    /** Returns the software that began the stream; empty if it hasn't begun, or if that isn't known. */
    public Optional<StreamOrigin> origin() {
        return origin;
    }

    /** Returns whether it is known which targets may send the next event. */
    public boolean isContinuable() {
        return !begun || origin.isPresent();
    }

    /**
     * Returns whether a target may send the next event.
     *
     * @param software the target's software; empty if it isn't known
     */
    public boolean admits(Optional<StreamOrigin> software) {
        return !begun || origin.isPresent() && origin.equals(software);
    }
}
