package org.rattanrudder.core.fleet;

/**
 * A part of a prompt as an engine's memory holds it.
 *
 * @param key a hash of the part and of who may use it
 * @param tokens its size
 */
public record KeptPart(long key, int tokens) {}
