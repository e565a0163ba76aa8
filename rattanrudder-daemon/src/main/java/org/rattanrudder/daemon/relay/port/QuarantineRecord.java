package org.rattanrudder.daemon.relay.port;

import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.quarantine.TargetCrash;

/** A record by which relays share what is held against requests. */
public sealed interface QuarantineRecord {
    /**
     * The end of a target.
     *
     * @param relay the relay that saw it; its record replaces the one of the end that it saw before
     * @param crash what it saw
     */
    record Crashed(String relay, TargetCrash crash) implements QuarantineRecord {}

    /**
     * A request is quarantined.
     *
     * @param request the request
     */
    record Quarantined(RequestFingerprint request) implements QuarantineRecord {}

    /**
     * A request is quarantined no more.
     *
     * @param request the request
     */
    record Released(RequestFingerprint request) implements QuarantineRecord {}
}
