package org.rattanrudder.core.cache;

import org.rattanrudder.core.model.AttemptId;

/**
 * Reports that the preparation of a prompt's context has ended: the prompt may be sent to its engine, which computes
 * the rest.
 *
 * @param attempt the attempt
 * @param fetchedTokens tokens whose blocks were fetched and are in the engine's cache
 * @param fetchedBytes bytes that were moved for it
 */
public record ContextReady(AttemptId attempt, int fetchedTokens, long fetchedBytes) {}
