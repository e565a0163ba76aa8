package org.rattanrudder.core.document;

import java.util.List;
import java.util.Set;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;

/**
 * One customer of a service.
 *
 * @param name its name, which is part of the key of every cached block
 * @param credentials SHA-256 digests of its bearer credentials
 * @param share its weight relative to other customers when targets are overloaded; at least 1
 * @param requestsPerSecond its rate limit over all entries; 0 for none
 * @param classes the request classes it may use; empty for all
 */
public record CustomerSettings(
        CustomerName name, List<Digest> credentials, int share, double requestsPerSecond, Set<String> classes) {
    /** Copies the collections. */
    public CustomerSettings {
        credentials = List.copyOf(credentials);
        classes = Set.copyOf(classes);
    }
}
