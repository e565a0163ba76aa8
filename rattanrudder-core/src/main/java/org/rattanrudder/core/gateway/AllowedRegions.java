package org.rattanrudder.core.gateway;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The regions in which requests may run and their cached context may be kept.
 *
 * @param names the names of the regions; empty if all regions are allowed
 */
public record AllowedRegions(Optional<Set<String>> names) {
    /** No restriction. */
    public static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

    public AllowedRegions {
        names = names.map(Set::copyOf);
    }

    /** Returns a restriction to the given regions; no names mean no restriction. */
    public static AllowedRegions of(Collection<String> names) {
        return names.isEmpty() ? ANY : new AllowedRegions(Optional.of(Set.copyOf(names)));
    }

    /** Returns the regions that both allow; there may be none. */
    public AllowedRegions and(AllowedRegions other) {
        if (names.isEmpty()) {
            return other;
        }
        return other.names.isEmpty()
                ? this
                : new AllowedRegions(Optional.of(names.get().stream()
                        .filter(other.names.get()::contains)
                        .collect(Collectors.toUnmodifiableSet())));
    }

    /** Returns whether a region is allowed; an unknown region only is if there is no restriction. */
    public boolean allows(Optional<String> region) {
        return names.isEmpty() || region.filter(names.get()::contains).isPresent();
    }
}
