package org.rattanrudder.core.gateway;

/**
 * Limits for a caller's requests and connections.
 *
 * @param maxHeaderBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis the maximum time between the first and the last byte of a head
 * @param idleTimeoutMillis how long a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /**
     * Limits until a configuration is loaded: wide, since callers within the configured limits must not be rejected.
     */
    public static final CallerLimits BEFORE_CONFIGURATION = new CallerLimits(65_536, 16L * 1024 * 1024, 10_000, 60_000);
}
