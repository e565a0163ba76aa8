package org.rattanrudder.core.gateway;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body of a request
 * @param headerTimeoutMillis the longest from the first byte of a head to its last
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** What holds before a configuration is known: wide, since callers within the true limits must not be refused. */
    public static final CallerLimits BEFORE_CONFIGURATION = new CallerLimits(65_536, 16L * 1024 * 1024, 10_000, 60_000);
}
