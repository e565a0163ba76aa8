package org.rattanrudder.core.parts;

/**
 * A change of what a store holds.
 *
 * @param key the part
 * @param tokens its tokens that are complete now
 * @param held false if the store holds it no more
 */
public record PartEvent(PartKey key, int tokens, boolean held) {}
