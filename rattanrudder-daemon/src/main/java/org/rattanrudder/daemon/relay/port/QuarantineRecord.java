package org.rattanrudder.daemon.relay.port;

import org.rattanrudder.core.quarantine.Cause;
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.FeatureAnswer;
import org.rattanrudder.core.quarantine.TargetCrash;

/** A record by which relays share what crashes targets. */
public sealed interface QuarantineRecord {
    /**
     * A target crashed.
     *
     * @param relay the relay that detected it; the record replaces that of the previous crash it detected
     * @param crash the crash
     */
    record Crashed(String relay, TargetCrash crash) implements QuarantineRecord {}

    /**
     * A target has answered a request with a feature that was suspected.
     *
     * @param answer the answer
     */
    record Answered(FeatureAnswer answer) implements QuarantineRecord {}

    /**
     * An answer has been told and needn't be kept.
     *
     * @param feature the feature of the request that was answered
     */
    record AnswerTold(Feature feature) implements QuarantineRecord {}

    /**
     * Requests were quarantined.
     *
     * @param cause what they have in common
     * @param trials how many of them were sent meanwhile to find out whether they still crash targets
     */
    record Quarantined(Cause cause, int trials) implements QuarantineRecord {}

    /**
     * The record that requests were quarantined doesn't hold any more.
     *
     * @param cause what they have in common
     */
    record Withdrawn(Cause cause) implements QuarantineRecord {}

    /**
     * The record that requests were quarantined was removed: by hand, unless it was withdrawn before.
     *
     * @param causeId identifies what they have in common, see {@link Cause#id()}
     */
    record Released(String causeId) implements QuarantineRecord {}
}
