package org.rattanrudder.core.claims;

import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;

/**
 * A call that carries an idempotency key.
 *
 * @param key the digest of service, customer and key
 * @param request the digest of method, path and body, to distinguish a retry from another request with the same key
 * @param service the service
 */
public record KeyedCall(Digest key, Digest request, ServiceName service) {
    /**
     * Returns the digests of a call. The customer is part of the key's digest, so that customers can't collide on keys.
     */
    public static KeyedCall of(ServiceName service, CustomerName customer, String idempotencyKey, Call call) {
        Digest key = Digest.of(service.value(), customer.value(), idempotencyKey);
        Digest request = Digest.of(call.method(), call.path()).chain(Digest.of(call.body()));
        return new KeyedCall(key, request, service);
    }
}
