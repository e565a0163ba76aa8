package org.rattanrudder.daemon.relay.targets;

import org.rattanrudder.daemon.relay.process.RelayState;

/** Logs when targets begin and end to be limited, whether they warm up or have named a rate limit. */
public final class TargetStateLog {
    private final WarmUpLog warmUps;
    private final RateLimitLog rateLimits;

    /** Creates a log of targets none of which is limited. */
    public TargetStateLog(RelayState state) {
        warmUps = new WarmUpLog(state);
        rateLimits = new RateLimitLog(state);
    }

    /** Logs the targets whose state has changed since the last update; called periodically. */
    public void update(long nowMillis) {
        warmUps.update(nowMillis);
        rateLimits.update(nowMillis);
    }
}
