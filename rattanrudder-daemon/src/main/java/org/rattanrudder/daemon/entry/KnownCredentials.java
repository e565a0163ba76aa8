package org.rattanrudder.daemon.entry;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.model.Digest;

/**
 * The credentials of all customers in force; set by the handler thread, read by I/O threads.
 *
 * <p>A caller that shows none of them is turned away before anything of its body is read: what it sends is nobody's to
 * parse, and an answer about the body would tell a stranger how far it was looked at.
 */
final class KnownCredentials {
    private volatile Optional<Set<Digest>> known = Optional.empty();

    /** Takes the credentials of the documents in force; without any document nothing is known. */
    void take(Collection<ServiceDocument> documents) {
        if (!documents.isEmpty()) {
            set(documents.stream()
                    .flatMap(document -> document.customers().stream())
                    .flatMap(customer -> customer.credentials().stream())
                    .collect(Collectors.toSet()));
        }
    }

    void set(Set<Digest> inForce) {
        known = Optional.of(Set.copyOf(inForce));
    }

    /** Returns whether a credential may be a customer's; before any document is known, each may. */
    boolean mayBeACustomers(Optional<Digest> credential) {
        Optional<Set<Digest>> inForce = known;
        return inForce.isEmpty() || credential.filter(inForce.get()::contains).isPresent();
    }
}
