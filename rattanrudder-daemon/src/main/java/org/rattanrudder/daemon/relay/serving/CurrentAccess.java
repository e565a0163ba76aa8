package org.rattanrudder.daemon.relay.serving;

import java.util.Optional;
import org.rattanrudder.core.gateway.AllowedRegions;
import org.rattanrudder.core.gateway.CustomerIdentity;
import org.rattanrudder.core.gateway.RequestMetadata;
import org.rattanrudder.core.gateway.ServingConfiguration;
import org.rattanrudder.core.gateway.ServingConfiguration.AccessDecision;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Whether a request may be sent by the configuration in force, and for which customer: it may have waited, or was sent
 * before, while a newer one came into force.
 */
final class CurrentAccess {
    private final RelayState state;
    private final RequestMetadata metadata;
    private final String target;
    private AccessDecision.Granted granted;
    private Optional<ErrorKind> denial = Optional.empty();
    private AllowedRegions allowedRegions;
    private long decidedBy;
    private boolean customerFixed;

    /**
     * Creates the access of a request that was granted.
     *
     * @param target the request target: a path with or without a query
     * @param decidedBy the version of the configuration that has granted it
     */
    CurrentAccess(
            RelayState state, RequestMetadata metadata, String target, AccessDecision.Granted granted, long decidedBy) {
        this.state = state;
        this.metadata = metadata;
        this.target = target;
        grant(granted);
        this.decidedBy = decidedBy;
    }

    /** Returns why the request may no longer be sent; empty if it may. */
    Optional<ErrorKind> denial() {
        update();
        return denial;
    }

    /** Returns the customer by the newest configuration that grants the request; empty if its route is open to all. */
    Optional<CustomerIdentity> customer() {
        update();
        return granted.customer();
    }

    /** Returns where the request may run by the newest configuration that grants it. */
    AllowedRegions allowedRegions() {
        update();
        return allowedRegions;
    }

    /** Fixes the customer: a target is sent the request for it now, and another one may not get its answer. */
    void fixCustomer() {
        customerFixed = true;
    }

    /** Lets the customer change with the configuration again: no target has run the request. */
    void releaseCustomer() {
        customerFixed = false;
        state.configuration().ifPresent(this::decide);
    }

    private void grant(AccessDecision.Granted access) {
        granted = access;
        allowedRegions = access.route()
                .allowedRegions()
                .and(access.customer().map(CustomerIdentity::allowedRegions).orElse(AllowedRegions.ANY));
    }

    private void update() {
        state.configuration().filter(newest -> newest.version() != decidedBy).ifPresent(this::decide);
    }

    private void decide(ServingConfiguration newest) {
        decidedBy = newest.version();
        AccessDecision decision = newest.authorize(metadata.host(), target, metadata.credential());
        if (decision instanceof AccessDecision.Denied denied) {
            denial = Optional.of(denied.error());
            return;
        }
        AccessDecision.Granted found = (AccessDecision.Granted) decision;
        if (customerFixed && !nameOf(found).equals(nameOf(granted))) {
            denial = Optional.of(ErrorKind.UNAUTHENTICATED);
        } else {
            denial = Optional.empty();
            grant(found);
        }
    }

    private static Optional<String> nameOf(AccessDecision.Granted access) {
        return access.customer().map(CustomerIdentity::name);
    }
}
