package org.rattanrudder.document;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;

/**
 * What one process has to know before it can reach the platform's log.
 *
 * @param role what the process is
 * @param instance its name, unique among the processes that run at one time
 * @param failureDomain the failure domain it stands in
 * @param http where it listens for HTTP: callers, operators, health and metrics at an entry; health and metrics at a
 *     companion
 * @param link where a companion listens for entries, as written in the documents; empty for an entry
 * @param platform where the platform's services listen
 * @param operatorCredential the SHA-256 digest of the operators' credential; empty for a companion
 * @param drainSeconds how long a stopping process waits for what runs
 * @param peers companions that an entry asks for the documents when it starts and the log can't be read
 * @param limits bounds on what one process takes
 */
public record ProcessSettings(
        Role role,
        InstanceName instance,
        String failureDomain,
        Address http,
        Optional<Address> link,
        PlatformAddresses platform,
        Optional<Digest> operatorCredential,
        int drainSeconds,
        List<Address> peers,
        ProcessLimits limits) {
    /** Copies the list. */
    public ProcessSettings {
        peers = List.copyOf(peers);
    }

    /** What a process is. */
    public enum Role {
        /** Takes calls from callers and operators. */
        ENTRY,
        /** Stands beside its targets. */
        COMPANION
    }

    /**
     * Where the platform's services listen (HTTP).
     *
     * @param log the append-only log
     * @param instances the lagging list of instances
     * @param weights the weight store
     */
    public record PlatformAddresses(Address log, Address instances, Address weights) {}

    /**
     * Bounds on what one process takes, whatever the documents say.
     *
     * @param bodyBytes the largest body
     * @param headerBytes the largest head of a request
     * @param bodyMillis how long a body may take to arrive
     * @param connections the most connections at a time
     */
    public record ProcessLimits(int bodyBytes, int headerBytes, long bodyMillis, int connections) {}
}
