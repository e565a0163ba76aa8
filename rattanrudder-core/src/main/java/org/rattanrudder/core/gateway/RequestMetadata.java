package org.rattanrudder.core.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Metadata from a request's head.
 *
 * @param id the caller's id for this attempt; empty if not given
 * @param host the requested host; empty if not given
 * @param deadlineMillis how long the caller waits, from when it sent the request
 * @param credential the caller's credential
 * @param model the requested model; empty for plain services
 * @param parts the prompt in order; its last part isn't shared
 * @param promptTokens the length of the prompt; 0 if unknown
 * @param maxOutputTokens the maximum number of output tokens; 0 if unknown
 * @param lastEventId the event after which a stream resumes; empty to start from the beginning
 * @param resumedRequestId the ID of the caller's request that brought the first event of the stream that this one
 *     resumes; empty if not given
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
        Optional<String> lastEventId,
        Optional<String> resumedRequestId) {
    public RequestMetadata {
        parts = List.copyOf(parts);
    }

    /** Returns the length of the part that no other request shares, in tokens; 0 if the prompt has no parts. */
    public int lastPartTokens() {
        return parts.isEmpty() ? 0 : parts.get(parts.size() - 1).tokens();
    }
}
