package org.rattanrudder.core.quarantine;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The crash of a target, as seen by one relay.
 *
 * @param target the target's id
 * @param startedAt the start time of the crashed process, see {@link
 * org.rattanrudder.core.fleet.TargetRegistration#startedAt()}
 * @param atMillis when the first connection of the relay broke, as a Unix time
 * @param requests the relay's requests that were in flight at the target
 * @param answered those of their features with which the relay has had an answer lately
 */
public record TargetCrash(
        String target, long startedAt, long atMillis, List<SuspectRequest> requests, Set<Feature> answered) {
    public TargetCrash {
        requests = List.copyOf(requests);
        answered = Set.copyOf(answered);
    }

    /**
     * Returns the crash with as many of its requests as a report may have: those that were sent last, since they began
     * to run right before it. At least one is left.
     *
     * @param maxCharacters the most characters that the features of all requests have as text
     */
    public TargetCrash limitedTo(int maxCharacters) {
        List<SuspectRequest> latest = requests.stream()
                .sorted(Comparator.comparingLong(SuspectRequest::heldMillis))
                .toList();
        int count = 0;
        long characters = 0;
        while (count < latest.size()
                && (count == 0 || characters + latest.get(count).characters() <= maxCharacters)) {
            characters += latest.get(count).characters();
            count++;
        }
        List<SuspectRequest> kept = latest.subList(0, count);
        Set<Feature> keptAnswered = answered.stream()
                .filter(feature ->
                        kept.stream().anyMatch(request -> request.features().contains(feature)))
                .collect(Collectors.toSet());
        return new TargetCrash(target, startedAt, atMillis, kept, keptAnswered);
    }

    /**
     * A request that was in flight.
     *
     * @param features its features
     * @param heldMillis how long before the crash it was sent to the target
     */
    public record SuspectRequest(Set<Feature> features, long heldMillis) {
        public SuspectRequest {
            features = Set.copyOf(features);
        }

        private long characters() {
            return features.stream()
                    .mapToLong(feature -> feature.toString().length())
                    .sum();
        }

        /** Returns the text of the request's fingerprint; empty if it isn't among the features. */
        public String fingerprint() {
            return features.stream()
                    .filter(Feature::isRequest)
                    .map(Feature::value)
                    .findFirst()
                    .orElse("");
        }
    }
}
