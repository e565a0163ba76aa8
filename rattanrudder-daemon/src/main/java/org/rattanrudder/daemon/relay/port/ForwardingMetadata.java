package org.rattanrudder.daemon.relay.port;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.rattanrudder.core.parts.PartPlan;

/**
 * What a relay tells a target beside the request itself.
 *
 * @param remainingMillis how long the target may work on it
 * @param target the incarnation that is meant
 * @param customer the customer's name; empty if the route asks for no credential
 * @param weights the version of weights that it must begin on; empty for plain services
 * @param salt under which cached context is found; empty for plain services
 * @param parts where cached parts are read and saved
 * @param lastEventId the event after which the stream goes on; empty from the start
 * @param priority its rank at the engine, 0 first; empty for the usual one
 */
public record ForwardingMetadata(
        long remainingMillis,
        String target,
        Optional<String> customer,
        OptionalLong weights,
        Optional<String> salt,
        PartPlan parts,
        Optional<String> lastEventId,
        OptionalInt priority) {}
