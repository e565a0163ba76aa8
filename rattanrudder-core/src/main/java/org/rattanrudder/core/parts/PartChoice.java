package org.rattanrudder.core.parts;

/** How a shared part of a prompt is obtained, or why the engine has to recompute it. */
public enum PartChoice {
    /** Fetched from a store. */
    FETCHED,
    /** A store holds it, but its fetches are too slow, so the engine recomputes it. */
    SLOW_STORE,
    /** No store holds it: the engine computes and saves it. */
    BEING_SAVED,
    /** No store holds it: the engine reads it and saves it. */
    SAVED,
    /** No store holds it, and it isn't saved since its weights are being replaced. */
    REPLACED,
    /** Its weights are retired, or this relay can't tell whether they are: it is neither fetched nor saved. */
    RETIRED,
    /** The stores that have room restarted too recently to accept it. */
    UNSETTLED,
    /** No store has room for it. */
    NO_ROOM,
    /** No store has a fresh update. */
    NO_STORE
}
