package org.rattanrudder.document;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.model.Address;

/**
 * The settings of a relay.
 *
 * @param instance its name
 * @param failureDomain where it stands
 * @param callers where it listens for callers
 * @param readiness where it answers whether it takes new connections
 * @param peers where it hears of other relays, in datagrams
 * @param metrics where it serves its metrics
 * @param store the platform's store
 * @param bounds what it must keep to
 * @param regions the region of each failure domain
 * @param earlyRejection whether requests that can't be sent while that is of use are rejected at once
 * @param features the features that the platform has in force, by its own names; unknown ones have no effect
 */
public record RelaySettings(
        String instance,
        String failureDomain,
        Address callers,
        Address readiness,
        Address peers,
        Address metrics,
        Address store,
        Bounds bounds,
        Map<String, String> regions,
        boolean earlyRejection,
        Set<String> features) {
    public RelaySettings {
        regions = Map.copyOf(regions);
        features = Set.copyOf(features);
    }

    /** Creates settings without early rejection and features. */
    public RelaySettings(
            String instance,
            String failureDomain,
            Address callers,
            Address readiness,
            Address peers,
            Address metrics,
            Address store,
            Bounds bounds,
            Map<String, String> regions) {
        this(instance, failureDomain, callers, readiness, peers, metrics, store, bounds, regions, false, Set.of());
    }

    /** Creates settings without regions and early rejection. */
    public RelaySettings(
            String instance,
            String failureDomain,
            Address callers,
            Address readiness,
            Address peers,
            Address metrics,
            Address store,
            Bounds bounds) {
        this(instance, failureDomain, callers, readiness, peers, metrics, store, bounds, Map.of());
    }

    /**
     * The keys of the settings file that a running relay takes over. The others need a restart: addresses are bound and
     * the name is registered once; two relays with different turns of the lease could both give orders; a longer window
     * of the retry budget would need sends that are forgotten.
     */
    public static final Set<String> CHANGEABLE = Set.of(
            "store",
            "regions",
            "earlyRejection",
            "features",
            "bounds.retryRatio",
            "bounds.retryExtra",
            "bounds.weightsMillis",
            "bounds.drainMillis",
            "bounds.configurationMillis",
            "bounds.graceSeconds",
            "bounds.warmUpOverage",
            "bounds.warmUpSlack");

    /** The shortest bound that is usual. */
    static final long DEFAULT_CONFIGURATION_MILLIS = 2_000;

    static final double DEFAULT_WARM_UP_OVERAGE = 1;
    static final double DEFAULT_WARM_UP_SLACK = 0;

    /** Returns the settings of a relay that runs on these and has read others: only what may change is theirs. */
    public RelaySettings takeOver(RelaySettings read) {
        Bounds changed = new Bounds(
                read.bounds.retryRatio,
                read.bounds.retryExtra,
                bounds.retryWindowMillis,
                bounds.leaseMillis,
                read.bounds.weightsMillis,
                read.bounds.drainMillis,
                read.bounds.configurationMillis,
                read.bounds.graceMillis,
                read.bounds.warmUpOverage,
                read.bounds.warmUpSlack);
        return new RelaySettings(
                instance,
                failureDomain,
                callers,
                readiness,
                peers,
                metrics,
                read.store,
                changed,
                read.regions,
                read.earlyRejection,
                read.features);
    }

    /** Returns the region of a failure domain; empty if unknown. */
    public Optional<String> regionOf(String domain) {
        return Optional.ofNullable(regions.get(domain));
    }

    /**
     * What a relay must keep to; times are milliseconds.
     *
     * @param retryRatio sends beyond the first of each request, for each request in a window
     * @param retryExtra such sends on top of it in each window, of all relays together
     * @param retryWindowMillis the length of that window
     * @param leaseMillis the time in which two processes may not both give orders
     * @param weightsMillis from naming a version of weights until no request may begin on an older one
     * @param drainMillis from a target's word that it leaves until no request may reach it
     * @param configurationMillis from a configuration's acknowledgement until no request may be decided by an older one
     * @param graceMillis from the request to stop until the process is ended by force
     * @param warmUpOverage how much more than the rate that it tolerates a warming target survives, as a factor
     * @param warmUpSlack requests a second that it survives on top of that
     */
    public record Bounds(
            double retryRatio,
            double retryExtra,
            long retryWindowMillis,
            long leaseMillis,
            long weightsMillis,
            long drainMillis,
            long configurationMillis,
            long graceMillis,
            double warmUpOverage,
            double warmUpSlack) {
        /** Creates bounds with the usual one for configurations; a warming target survives just what it tolerates. */
        public Bounds(
                double retryRatio,
                double retryExtra,
                long retryWindowMillis,
                long leaseMillis,
                long weightsMillis,
                long drainMillis,
                long graceMillis) {
            this(
                    retryRatio,
                    retryExtra,
                    retryWindowMillis,
                    leaseMillis,
                    weightsMillis,
                    drainMillis,
                    DEFAULT_CONFIGURATION_MILLIS,
                    graceMillis,
                    DEFAULT_WARM_UP_OVERAGE,
                    DEFAULT_WARM_UP_SLACK);
        }
    }
}
