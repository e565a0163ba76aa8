package org.rattanrudder.core.parts;

import java.util.List;
import java.util.OptionalLong;

/**
 * An answer of a store to the question what has changed.
 *
 * @param incarnation changes when the store restarts, empty
 * @param next what to ask from next time
 * @param lost whether events were dropped before these
 * @param events the changes, oldest first
 * @param clockMillis the store's clock when it answered; empty if it didn't say
 */
public record StoreUpdate(long incarnation, long next, boolean lost, List<PartEvent> events, OptionalLong clockMillis) {
    /** Takes a copy of the events. */
    public StoreUpdate {
        events = List.copyOf(events);
    }
}
