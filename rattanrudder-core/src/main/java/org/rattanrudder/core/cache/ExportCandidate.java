package org.rattanrudder.core.cache;

import org.rattanrudder.core.model.Digest;

/**
 * A block in the engine's cache that may be worth exporting to a store.
 *
 * @param block its name
 * @param anchor the block name that determines its stores
 * @param weightVersion the weight version of the run that computed it
 * @param attempts how often an export of it found a store full, counting two where the retry at that store was skipped
 */
record ExportCandidate(Digest block, Digest anchor, String weightVersion, int attempts) {
    ExportCandidate nextAttempt() {
        return new ExportCandidate(block, anchor, weightVersion, attempts + 1);
    }
}
