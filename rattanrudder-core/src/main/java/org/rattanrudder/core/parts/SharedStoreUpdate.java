package org.rattanrudder.core.parts;

import org.rattanrudder.core.model.Address;

/**
 * An update of a context store that one relay polled and forwards to its peers.
 *
 * @param store the store
 * @param since the event number that the poll started from
 * @param update the store's response
 * @param ageMillis how long ago the poll was sent
 */
public record SharedStoreUpdate(Address store, long since, StoreUpdate update, long ageMillis) {}
