package org.rattanrudder.core.parts;

import java.util.Optional;
import org.rattanrudder.core.gateway.CustomerIdentity;

/**
 * Identifies a cached part by its content and by who may use it.
 *
 * @param salt engines and stores find a part only under the salt that it was saved with
 * @param id identifies the content
 */
public record PartKey(String salt, String id) {
    private static final char SEPARATOR = '.';

    /**
     * Returns the salt of a request. It contains the version of the weights, so that a request never finds a part that
     * was computed under another version, and the name of the customer if that customer shares no parts with others.
     */
    public static String salt(long weights, Optional<CustomerIdentity> customer) {
        String shared = "w" + weights;
        return customer.filter(CustomerIdentity::isolated)
                .map(isolated -> shared + SEPARATOR + isolated.name())
                .orElse(shared);
    }

    /** Returns the version of weights in a salt; empty if this project didn't create the salt. */
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
