package org.rattanrudder.daemon.relay.port;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.rattanrudder.core.parts.PartPlan;

/**
 * The metadata that a relay sends to a target with a request.
 *
 * @param remainingMillis how long the target may work on it
 * @param target the incarnation that it is for
 * @param customer the customer's name; empty if the route requires no credential
 * @param weights the version of the weights that it must start on; empty for plain services
 * @param salt the salt of the keys of cached context; empty for plain services
 * @param parts where cached parts are read and saved
 * @param lastEventId the event after which to resume the stream; empty to start from the beginning
 * @param priority its priority at the engine, 0 first; empty for the default
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
