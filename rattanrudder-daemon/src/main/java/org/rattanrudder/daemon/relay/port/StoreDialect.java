package org.rattanrudder.daemon.relay.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.fleet.TargetRegistration;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.rollout.LeaseRecord;

/** How the platform's store is spoken to. */
public interface StoreDialect {
    /** The topics of the store that a relay uses. */
    enum Topic {
        /** What operators want: the configuration, and the weights of each model. */
        WISHES,
        /** The targets' entries. */
        TARGETS,
        /** The lease of the process that gives orders. */
        ORDERS,
        /** Where the relays hear of each other. */
        RELAYS,
        /** What is held against requests that end targets. */
        QUARANTINE
    }

    /** A record of what operators want. */
    sealed interface DesiredState {
        /**
         * The newest configuration.
         *
         * @param configuration in full
         */
        record DesiredConfiguration(ServingConfiguration configuration) implements DesiredState {}

        /**
         * A version of weights.
         *
         * @param weights the model and its version
         */
        record DesiredWeights(WeightsVersion weights) implements DesiredState {}
    }

    /** Returns the call for a page of the newest records; after the given key, or the first page. */
    PlatformCall list(Topic topic, Optional<String> after);

    /** Returns the call that waits for records from an offset on. */
    PlatformCall poll(Topic topic, long from, long waitMillis);

    /** Returns the call that appends a record; only at the given end if one is given. */
    PlatformCall append(Topic topic, LeaseRecord record, OptionalLong at);

    /** Returns the call that writes where a relay hears of the others. */
    PlatformCall register(String relay, RelayRegistration registered);

    /** Returns the call that writes records, all or none. */
    PlatformCall write(List<QuarantineRecord> records);

    /** Reads such a record; empty if the key isn't used. Throws IllegalArgumentException if unreadable. */
    Optional<QuarantineRecord> readQuarantine(KeyedRecord record);

    /** Reads where a relay hears of the others. Throws IllegalArgumentException if unreadable. */
    RelayRegistration readRelay(byte[] value);

    /** Reads the answer to a listing. */
    StoreResponse readListing(int status, byte[] body);

    /** Reads the answer to a call that follows a topic from an offset. */
    StoreResponse readRecords(Topic topic, long from, int status, byte[] body);

    /** Reads the answer to an append. */
    StoreResponse readAppend(int status, byte[] body);

    /** Reads what operators want; empty if the key isn't used. Throws IllegalArgumentException if unreadable. */
    Optional<DesiredState> readDesiredState(KeyedRecord record);

    /** Reads a target's entry. Throws IllegalArgumentException if unreadable. */
    TargetRegistration readTarget(String id, byte[] value);

    /** Reads a record of the lease. Throws IllegalArgumentException if unreadable. */
    LeaseRecord readLease(byte[] value);
}
