package org.rattanrudder.core.cache;

import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;

/**
 * A committed block and the store that said so.
 *
 * @param block what the store said
 * @param store the store
 */
record StoredAt(StoredBlock block, StoreLink store) {}
