package org.rattanrudder.core.entry;

import java.util.Optional;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.model.Digest;

/**
 * A caller's request, as read from its connection.
 *
 * @param service the service's name as sent by the caller
 * @param credential the SHA-256 digest of its bearer credential
 * @param requestClass the requested class; the service's default if empty
 * @param idempotencyKey its {@code Idempotency-Key}
 * @param call the call
 * @param prompt the prompt's shape; {@link PromptShape#NONE} for plain calls
 */
public record CallerRequest(
        String service,
        Optional<Digest> credential,
        Optional<String> requestClass,
        Optional<String> idempotencyKey,
        Call call,
        PromptShape prompt) {}
