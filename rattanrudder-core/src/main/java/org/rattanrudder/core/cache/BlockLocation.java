package org.rattanrudder.core.cache;

import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;

/**
 * A committed block and the store that reported it.
 *
 * @param block the block as the store described it
 * @param store the store
 */
record BlockLocation(StoredBlock block, StoreLink store) {}
