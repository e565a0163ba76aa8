package org.rattanrudder.standins.model;

/**
 * A part of prompts that requests share.
 *
 * @param id its name
 * @param tokens its size
 */
record ModelPart(String id, int tokens) {}
