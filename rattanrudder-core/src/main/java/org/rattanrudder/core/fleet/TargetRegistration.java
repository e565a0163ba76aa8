package org.rattanrudder.core.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.model.Address;

/**
 * The registration that a target last published.
 *
 * @param id its name, which it may keep across restarts
 * @param startedAt when it started, by its own clock in Unix ms; {@link #START_UNKNOWN} if not given
 * @param service the service that it belongs to
 * @param address the address that it listens on
 * @param failureDomain its failure domain
 * @param slots how many requests it processes concurrently; 0 if not given
 * @param draining whether it is shutting down and accepts no new requests
 * @param weights the version of each model that it serves
 * @param warmUpMillis how long it still warms up, in ms; empty if not given
 * @param softwareVersion the version of the software that it runs, not of its weights; empty if not given
 */
public record TargetRegistration(
        String id,
        long startedAt,
        String service,
        Address address,
        String failureDomain,
        int slots,
        boolean draining,
        Map<String, Long> weights,
        OptionalLong warmUpMillis,
        Optional<String> softwareVersion) {
    /** The start time of a target that gives none; sorts before any other. */
    public static final long START_UNKNOWN = 0;

    public TargetRegistration {
        weights = Map.copyOf(weights);
    }

    /** Creates a registration that says neither whether the target warms up nor what software it runs. */
    public TargetRegistration(
            String id,
            long startedAt,
            String service,
            Address address,
            String failureDomain,
            int slots,
            boolean draining,
            Map<String, Long> weights) {
        this(
                id,
                startedAt,
                service,
                address,
                failureDomain,
                slots,
                draining,
                weights,
                OptionalLong.empty(),
                Optional.empty());
    }

    /** Returns whether another registration differs in more than the progress of a warm-up. */
    public boolean differsFrom(TargetRegistration other) {
        return isWarmingUp() != other.isWarmingUp() || !withoutWarmUp().equals(other.withoutWarmUp());
    }

    private boolean isWarmingUp() {
        return warmUpMillis.orElse(0) > 0;
    }

    private TargetRegistration withoutWarmUp() {
        return new TargetRegistration(
                id,
                startedAt,
                service,
                address,
                failureDomain,
                slots,
                draining,
                weights,
                OptionalLong.empty(),
                softwareVersion);
    }
}
