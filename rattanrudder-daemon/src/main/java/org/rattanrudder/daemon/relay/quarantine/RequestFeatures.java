package org.rattanrudder.daemon.relay.quarantine;

import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.RequestFingerprint;

/**
 * What other requests may have in common with one, computed once for each of its customers: while no target runs it,
 * a newer configuration may give its key to another one.
 */
final class RequestFeatures {
    private final Supplier<String> customer;
    private final Supplier<RequestFingerprint> fingerprinting;
    private final Function<RequestFingerprint, List<Feature>> featuring;
    private String computedFor = "";
    private RequestFingerprint fingerprint;
    private List<Feature> features;

    /**
     * Creates the features of a request.
     *
     * @param customer returns the name of its customer, empty if it has none
     * @param fingerprinting computes the fingerprint for that customer
     * @param featuring computes the features for that customer, given the fingerprint
     */
    RequestFeatures(
            Supplier<String> customer,
            Supplier<RequestFingerprint> fingerprinting,
            Function<RequestFingerprint, List<Feature>> featuring) {
        this.customer = customer;
        this.fingerprinting = fingerprinting;
        this.featuring = featuring;
    }

    RequestFingerprint fingerprint() {
        String current = customer.get();
        if (fingerprint == null || !current.equals(computedFor)) {
            computedFor = current;
            fingerprint = fingerprinting.get();
            features = null;
        }
        return fingerprint;
    }

    List<Feature> features() {
        RequestFingerprint current = fingerprint();
        if (features == null) {
            features = featuring.apply(current);
        }
        return features;
    }
}
