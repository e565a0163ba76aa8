package org.rattanrudder.core.parts;

import java.util.Optional;
import org.rattanrudder.core.gateway.CustomerIdentity;

/**
 * Names one cached part: what it holds, and who may use it.
 *
 * @param salt engines and stores find a part only under the salt that it was saved with
 * @param id names the content
 */
public record PartKey(String salt, String id) {
    private static final char SEPARATOR = '.';

    /**
     * Returns the salt of a request. Weights stand in it, so that a part made by one version is never found by a
     * request of another; so does the name of a customer that shares nothing with others.
     */
    public static String salt(long weights, Optional<CustomerIdentity> customer) {
        String shared = "w" + weights;
        return customer.filter(CustomerIdentity::isolated)
                .map(isolated -> shared + SEPARATOR + isolated.name())
                .orElse(shared);
    }

    /** Returns the version of weights in a salt of ours; empty if it isn't one. */
    public static Optional<Long> weightVersion(String salt) {
        if (!salt.startsWith("w")) {
            return Optional.empty();
        }
        int end = salt.indexOf(SEPARATOR);
        try {
            return Optional.of(Long.parseLong(salt.substring(1, end < 0 ? salt.length() : end)));
        } catch (NumberFormatException foreign) {
            return Optional.empty();
        }
    }
}
