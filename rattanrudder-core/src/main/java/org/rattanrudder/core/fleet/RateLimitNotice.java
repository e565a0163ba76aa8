package org.rattanrudder.core.fleet;

/** What a response says of its target's rate limit: the requests a second that it takes from all relays together. */
public sealed interface RateLimitNotice {
    /**
     * The target takes a limited number of requests, for as long as its responses say so.
     *
     * @param requestsPerSecond the number of requests a second, at least 0
     */
    record Limited(double requestsPerSecond) implements RateLimitNotice {}

    /** The response names no limit. */
    record NotLimited() implements RateLimitNotice {}

    /** The response names a limit that can't be read. */
    record Unreadable() implements RateLimitNotice {}
}
