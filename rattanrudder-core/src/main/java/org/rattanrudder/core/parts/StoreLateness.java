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
    /** Returns the lateness of one answer, which may have been earlier than that. */
    public static StoreLateness of(Address store, double excessMillis) {
        return new StoreLateness(store, 1, Math.max(0, excessMillis));
    }

    /** Returns the lateness of the answers of both. */
    public StoreLateness plus(StoreLateness other) {
        int all = samples + other.samples;
        double mean = all == 0 ? 0 : (meanMillis * samples + other.meanMillis * other.samples) / all;
        return new StoreLateness(store, all, mean);
    }
}
