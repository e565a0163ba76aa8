package org.rattanrudder.core.cache;

import java.util.List;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/**
 * A prompt whose context is to be brought to its target.
 *
 * @param attempt the attempt
 * @param target the target that will run it
 * @param customer on whose behalf
 * @param service its service
 * @param weightVersion the weight version that it was admitted for
 * @param shape its length and pieces
 * @param deadlineMicros when its first byte is due, on the clock of the events
 */
public record ContextPrompt(
        AttemptId attempt,
        TargetName target,
        CustomerName customer,
        ServiceName service,
        String weightVersion,
        PromptShape shape,
        long deadlineMicros) {
    /** Returns the root of its block names, which is also the engine's cache salt. */
    public Digest root() {
        return Digest.of(customer.value(), service.value(), weightVersion);
    }

    /**
     * Returns the names of its blocks.
     *
     * <p>Guards against context of another customer, service or weight version: the names start from a digest of all
     * three, so the same text under another of them has other names and nothing is ever looked up, fetched or exported
     * under a name that two of them share.
     */
    public List<Digest> blocks() {
        return shape.blockDigests(root());
    }
}
