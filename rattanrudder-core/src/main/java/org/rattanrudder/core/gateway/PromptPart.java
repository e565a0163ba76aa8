package org.rattanrudder.core.gateway;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifies its content
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
