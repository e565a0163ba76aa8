package org.rattanrudder.daemon.relay.port;

import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.quarantine.TargetCrash;

/** A record by which relays share the quarantine of requests. */
public sealed interface QuarantineRecord {
    /**
     * A target crashed.
     *
     * @param relay the relay that detected it; the record replaces that of the previous crash it detected
     * @param crash the crash
     */
    record Crashed(String relay, TargetCrash crash) implements QuarantineRecord {}

    /**
     * A request was quarantined.
     *
     * @param request the request
     */
    record Quarantined(RequestFingerprint request) implements QuarantineRecord {}

    /**
     * A request was released from quarantine.
     *
     * @param request the request
     */
    record Released(RequestFingerprint request) implements QuarantineRecord {}
}
