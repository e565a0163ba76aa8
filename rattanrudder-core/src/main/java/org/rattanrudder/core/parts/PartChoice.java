package org.rattanrudder.core.parts;

/** What was decided for a shared part of a prompt: where it is read, or why its engine has to read it anew. */
public enum PartChoice {
    /** It is read from a store. */
    FETCHED,
    /** A store holds it, but its fetches come too late: the engine reads it anew. */
    SLOW_STORE,
    /** Another request's engine was asked to save it, and it isn't known to be there yet. */
    BEING_SAVED,
    /** No store holds it: the engine reads it and saves it. */
    SAVED,
    /** No store holds it, and none is to: its weights are being replaced. */
    REPLACED,
    /** Stores that have room restarted too lately to take it. */
    UNSETTLED,
    /** No store has room for it. */
    NO_ROOM,
    /** No store's word is fresh. */
    NO_STORE
}
