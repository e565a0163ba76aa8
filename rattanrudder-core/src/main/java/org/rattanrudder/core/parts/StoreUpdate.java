package org.rattanrudder.core.parts;

import java.util.List;
import java.util.OptionalLong;

/**
 * A store's response to a poll for changes.
 *
 * @param incarnation changes when the store restarts, which empties it
 * @param next the event number to poll from next time
 * @param lost whether events before these were dropped
 * @param events the changes, oldest first
 * @param clockMillis the store's clock at the time of the response; empty if not given
 */
public record StoreUpdate(long incarnation, long next, boolean lost, List<PartEvent> events, OptionalLong clockMillis) {
    public StoreUpdate {
        events = List.copyOf(events);
    }
}
