package org.rattanrudder.core.quarantine;

/**
 * That a target has answered a request with a feature.
 *
 * @param feature the feature
 * @param clearsUpToMillis the Unix time of the last crash after which the request was sent; crashes up to then have
 *     another cause. 0 if it was sent before them, which only shows that the feature used to be harmless.
 */
public record FeatureAnswer(Feature feature, long clearsUpToMillis) {}
