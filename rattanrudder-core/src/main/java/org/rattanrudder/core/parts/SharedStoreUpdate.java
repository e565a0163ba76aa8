package org.rattanrudder.core.parts;

import org.rattanrudder.core.model.Address;

/**
 * News of a context store that one relay asked for and tells the others.
 *
 * @param store the store
 * @param since the event number that was asked from
 * @param update what the store answered
 * @param ageMillis how long ago it was asked
 */
public record SharedStoreUpdate(Address store, long since, StoreUpdate update, long ageMillis) {}
