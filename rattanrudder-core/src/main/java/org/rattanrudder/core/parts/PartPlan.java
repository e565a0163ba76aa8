package org.rattanrudder.core.parts;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.model.Address;

/**
 * Where an engine fetches and saves each part of one prompt.
 *
 * @param sources for each part, the store to fetch it from
 * @param destinations for each part, the store to save it to once it was computed
 * @param untilMillis when fetches must have ended, by the stores' clock; later ones are discarded
 * @param choices for each shared part, how it is obtained
 */
public record PartPlan(
        List<Optional<Source>> sources,
        List<Optional<Address>> destinations,
        OptionalLong untilMillis,
        List<PartChoice> choices) {
    /** A plan without fetches and saves. */
    public static final PartPlan NONE = new PartPlan(List.of(), List.of(), OptionalLong.empty(), List.of());

    public PartPlan {
        sources = List.copyOf(sources);
        destinations = List.copyOf(destinations);
        choices = List.copyOf(choices);
    }

    /** Returns a plan without fetches and saves, for a number of shared parts whose weights are retired. */
    static PartPlan ofRetired(int sharedParts) {
        return new PartPlan(
                List.of(), List.of(), OptionalLong.empty(), Collections.nCopies(sharedParts, PartChoice.RETIRED));
    }

    /**
     * A store to fetch a part from.
     *
     * @param address the store
     * @param tokens the number of the part's tokens that are complete there
     */
    public record Source(Address address, int tokens) {}

    /** Returns whether the plan contains a fetch. */
    public boolean reads() {
        return sources.stream().anyMatch(Optional::isPresent);
    }

    /** Returns how many tokens are fetched. */
    public int fetchedTokens() {
        return sources.stream()
                .mapToInt(source -> source.map(Source::tokens).orElse(0))
                .sum();
    }

    /** Returns whether the plan contains a save. */
    public boolean saves() {
        return destinations.stream().anyMatch(Optional::isPresent);
    }
}
