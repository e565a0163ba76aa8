package org.rattanrudder.core.parts;

/**
 * A change of the parts that a store holds.
 *
 * @param key the part
 * @param tokens the number of its tokens that are complete
 * @param held false if the store no longer holds the part
 */
public record PartEvent(PartKey key, int tokens, boolean held) {}
