package org.rattanrudder.core.cache;

import java.util.List;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/**
 * A prompt whose context is to be fetched to its target.
 *
 * @param attempt the attempt
 * @param target the target that will run it
 * @param customer the customer on whose behalf it runs
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
    /** Returns the digest from which its block names are derived; it is also the engine's cache salt. */
    public Digest root() {
        return Digest.of(customer.value(), service.value(), weightVersion);
    }

    /**
     * Returns the names of its blocks.
     *
     * <p>This keeps the context of customers, services and weight versions apart: the names are derived from a
     * digest of all three, so the same text has other names under another of them, and no block is ever looked up,
     * fetched or exported under a name that two of them share.
     */
    public List<Digest> blocks() {
        return shape.blockDigests(root());
    }
}
