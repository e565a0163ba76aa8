package org.rattanrudder.core.parts;

import org.rattanrudder.core.model.Address;

/**
 * How late some answers were whose prompts were read from one store.
 *
 * @param store the store
 * @param samples how many answers
 * @param meanMillis by how much they were later than without the fetch, on average, in ms
 */
public record StoreLateness(Address store, int samples, double meanMillis) {
    /** Returns this and one answer more. */
    public StoreLateness with(double excessMillis) {
        double late = Math.max(0, excessMillis);
        return new StoreLateness(store, samples + 1, meanMillis + (late - meanMillis) / (samples + 1));
    }

    /** Returns a store's lateness before any answer. */
    public static StoreLateness none(Address store) {
        return new StoreLateness(store, 0, 0);
    }
}
