package org.rattanrudder.core.quarantine;

import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.rattanrudder.core.model.Digest;

/**
 * What is taken for the cause of crashes: features that all requests in question had.
 *
 * @param features the features; at least one of them is specific
 * @param anyOf whether a request is refused for any specific one of them; else only for all of them together
 * @param answeredBefore whether requests with these features used to be answered before the crashes
 */
public record Cause(Set<Feature> features, boolean anyOf, boolean answeredBefore) {
    public Cause {
        features = Set.copyOf(features);
    }

    /** Returns whether a request with the given features is refused. */
    boolean matches(Set<Feature> request) {
        return anyOf
                ? features.stream().anyMatch(feature -> feature.isSpecific() && request.contains(feature))
                : request.containsAll(features);
    }

    /** Returns whether the features hold a specific one, without which nobody is to blame. */
    boolean isSpecific() {
        return features.stream().anyMatch(Feature::isSpecific);
    }

    /** Returns whether both causes have a feature in common that may be to blame by itself. */
    boolean sharesSpecificFeature(Cause other) {
        return features.stream()
                .anyMatch(feature -> feature.isSpecific() && other.features().contains(feature));
    }

    /** Returns the cause without features that turned out to be innocent. */
    Cause without(Set<Feature> innocent) {
        return new Cause(
                features.stream().filter(feature -> !innocent.contains(feature)).collect(Collectors.toSet()),
                anyOf,
                answeredBefore);
    }

    /** Returns what identifies it: 64 hexadecimal digits that are the same at all relays. */
    public String id() {
        return Digest.of(toText(), Boolean.toString(anyOf), Boolean.toString(answeredBefore))
                .toHex();
    }

    /** Returns the features in a fixed order, separated by commas. */
    public String toText() {
        return new TreeSet<>(features).stream().map(Feature::toString).collect(Collectors.joining(","));
    }
}
