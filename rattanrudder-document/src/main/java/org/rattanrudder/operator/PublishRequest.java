package org.rattanrudder.operator;

/**
 * The body of {@code POST /operator/services/SERVICE}.
 *
 * @param baseRevision the revision that the text was edited from; 0 for a new service
 * @param text the document
 */
public record PublishRequest(long baseRevision, String text) {}
