package org.rattanrudder.core.parts;

import org.rattanrudder.core.model.Address;

/**
 * How late responses were whose prompts fetched parts from one store.
 *
 * @param store the store
 * @param samples the number of responses
 * @param meanMillis by how much they were later than without the fetch, on average
 */
public record StoreLateness(Address store, int samples, double meanMillis) {
    /** Returns the lateness of one response; 0 if it was early. */
    public static StoreLateness of(Address store, double excessMillis) {
        return new StoreLateness(store, 1, Math.max(0, excessMillis));
    }

    /** Returns the combined lateness of both samples. */
    public StoreLateness plus(StoreLateness other) {
        int all = samples + other.samples;
        double mean = all == 0 ? 0 : (meanMillis * samples + other.meanMillis * other.samples) / all;
        return new StoreLateness(store, all, mean);
    }
}
