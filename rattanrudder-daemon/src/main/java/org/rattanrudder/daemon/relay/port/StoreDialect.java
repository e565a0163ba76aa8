package org.rattanrudder.daemon.relay.port;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.rattanrudder.core.fleet.TargetRegistration;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.quarantine.Cause;
import org.rattanrudder.core.rollout.LeaseRecord;
import org.rattanrudder.core.topics.LogPosition;

/** Builds and parses the calls to the platform's store. */
public interface StoreDialect {
    /** The topics of the store that a relay uses. */
    enum Topic {
        /** The desired state: the configuration, and the weights of each model. */
        DESIRED_STATE,
        /** The registrations of targets. */
        TARGETS,
        /** The lease of the process that sends orders. */
        ORDERS,
        /** The addresses at which relays receive messages from their peers. */
        RELAYS,
        /** Crashes of targets and what is quarantined for them. */
        QUARANTINE
    }

    /** A record of the desired state. */
    sealed interface DesiredState {
        /**
         * The newest configuration.
         *
         * @param configuration the complete configuration
         */
        record DesiredConfiguration(ServingConfiguration configuration) implements DesiredState {}

        /**
         * The desired version of weights.
         *
         * @param weights the model and its version
         */
        record DesiredWeights(WeightsVersion weights) implements DesiredState {}

        /**
         * Whether a failure domain is evacuated.
         *
         * @param failureDomain the failure domain
         * @param evacuated whether its targets may get no requests
         */
        record DesiredEvacuation(String failureDomain, boolean evacuated) implements DesiredState {}
    }

    /** Returns the call for a page of the newest records: the page after the given key, or the first one. */
    PlatformCall list(Topic topic, Optional<String> after);

    /** Returns the call for the records from an offset on, which is answered at once though there be none. */
    PlatformCall read(Topic topic, long from);

    /** Returns the call that appends a record; if an offset is given, only if the topic ends there. */
    PlatformCall append(Topic topic, LeaseRecord record, OptionalLong at);

    /** Returns the call that registers a relay. */
    PlatformCall register(String relay, RelayRegistration registered);

    /** Returns the call that writes quarantine records, all or none; given an offset, only if the topic ends there. */
    PlatformCall write(List<QuarantineRecord> records, OptionalLong at);

    /** Returns the key of the record that a cause is quarantined. */
    String keyOf(Cause cause);

    /** Parses a quarantine record; empty if the key isn't used. Throws IllegalArgumentException if malformed. */
    Optional<QuarantineRecord> readQuarantine(KeyedRecord record);

    /** Parses the registration of a relay. Throws IllegalArgumentException if malformed. */
    RelayRegistration readRelay(byte[] value);

    /** Returns the era of the log that a response names; empty if it names none that can be read. */
    OptionalLong readEra(HttpHeaders headers);

    /** Parses the response to {@link #list}, of an era of the log. */
    StoreResponse readListing(long era, int status, byte[] body);

    /** Parses the response to {@link #read} from a position. */
    StoreResponse readRecords(Topic topic, LogPosition from, int status, byte[] body);

    /** Parses the response to {@link #append}, of an era of the log. */
    StoreResponse readAppend(long era, int status, byte[] body);

    /**
     * Parses a record of the desired state; empty if the key isn't used. Throws IllegalArgumentException if malformed.
     */
    Optional<DesiredState> readDesiredState(KeyedRecord record);

    /** Returns the failure domains that are evacuated if these are all keys of the desired state. */
    Set<String> evacuatedDomains(Set<String> keys);

    /** Parses the registration of a target. Throws IllegalArgumentException if malformed. */
    TargetRegistration readTarget(String id, byte[] value);

    /** Parses a lease record. Throws IllegalArgumentException if malformed. */
    LeaseRecord readLease(byte[] value);
}
