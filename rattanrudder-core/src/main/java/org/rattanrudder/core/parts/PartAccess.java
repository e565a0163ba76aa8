package org.rattanrudder.core.parts;

/** What a request may do with the shared parts of its prompt in stores. */
public enum PartAccess {
    /** Fetch parts, and save those that no store holds. */
    FETCH_AND_SAVE,
    /** Fetch parts; saved ones wouldn't be worth their space, since their weights are being replaced. */
    FETCH_ONLY,
    /** Nothing: the weights are retired, or this relay can't tell whether they are. */
    NONE
}
