package org.rattanrudder.core.parts;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.model.Address;

/**
 * Where an engine reads and saves each part of one prompt.
 *
 * @param sources for each part the store to read it from
 * @param destinations for each part the store to save it in once it was read
 * @param untilMillis when fetches must have ended, on the stores' clock; later ones are thrown away
 * @param choices for each shared part what was decided
 */
public record PartPlan(
        List<Optional<Source>> sources,
        List<Optional<Address>> destinations,
        OptionalLong untilMillis,
        List<PartChoice> choices) {
    /** A plan that moves nothing. */
    public static final PartPlan NONE = new PartPlan(List.of(), List.of(), OptionalLong.empty(), List.of());

    /** Takes copies of the lists. */
    public PartPlan {
        sources = List.copyOf(sources);
        destinations = List.copyOf(destinations);
        choices = List.copyOf(choices);
    }

    /**
     * A place to read a part from.
     *
     * @param address the store
     * @param tokens how many tokens of it are complete there
     */
    public record Source(Address address, int tokens) {}

    /** Returns whether anything is read. */
    public boolean reads() {
        return sources.stream().anyMatch(Optional::isPresent);
    }

    /** Returns whether anything is saved. */
    public boolean saves() {
        return destinations.stream().anyMatch(Optional::isPresent);
    }
}
