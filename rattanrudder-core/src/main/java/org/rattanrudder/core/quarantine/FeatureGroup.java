package org.rattanrudder.core.quarantine;

import java.util.BitSet;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Features of a class that had the same answers; equal to itself only. */
final class FeatureGroup {
    private final FeatureClass owner;
    private final FeatureClass.Status status;
    private final NavigableSet<Feature> features = new TreeSet<>();

    /** The suspected crashes without those before which the features used to be answered. */
    private final BitSet unanswered;

    FeatureGroup(FeatureClass owner, FeatureClass.Status status) {
        this.owner = owner;
        this.status = status;
        unanswered = (BitSet) status.suspected().clone();
        unanswered.andNot(status.answered());
    }

    FeatureClass owner() {
        return owner;
    }

    FeatureClass.Status status() {
        return status;
    }

    NavigableSet<Feature> features() {
        return features;
    }

    /** Returns the numbers of the requests that have the features. */
    BitSet requests() {
        return owner.requests();
    }

    /** Returns whether the features may be causes by themselves, of any crash at all. */
    boolean isSuspected() {
        return status.specific() && !status.suspected().isEmpty();
    }

    /** Returns the number of crashes that no answer has cleared the features of. */
    int suspectedCrashes() {
        return status.suspected().cardinality();
    }

    /**
     * Returns the numbers of the crashes that may be put down to the features.
     *
     * @param answeredBefore whether crashes before which they used to be answered are among them
     */
    BitSet suspected(boolean answeredBefore) {
        return answeredBefore ? status.suspected() : unanswered;
    }
}
