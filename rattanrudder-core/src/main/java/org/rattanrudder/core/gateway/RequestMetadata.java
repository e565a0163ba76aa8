package org.rattanrudder.core.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a request's head says of it.
 *
 * @param id the caller's name for this attempt; empty if it gave none
 * @param host the host that it names; empty if none
 * @param deadlineMillis how long the caller waits, from when it sent the request
 * @param credential what it identifies itself by
 * @param model the model that it asks for; empty for plain services
 * @param parts its prompt in order, the last one its own
 * @param promptTokens the prompt's length; 0 if unknown
 * @param maxOutputTokens the most tokens that it wants; 0 if unknown
 * @param lastEventId the event after which a stream goes on; empty from the start
 */
public record RequestMetadata(
        String id,
        String host,
        OptionalLong deadlineMillis,
        Optional<String> credential,
        Optional<String> model,
        List<PromptPart> parts,
        int promptTokens,
        int maxOutputTokens,
        Optional<String> lastEventId) {
    /** Takes a copy of the parts. */
    public RequestMetadata {
        parts = List.copyOf(parts);
    }
}
