package org.rattanrudder.core.parts;

/**
 * What a relay tells its peers of the weights whose parts it no longer fetches.
 *
 * @param retiredBefore the version of weights before which it fetches no parts any more; 0 if there is none
 * @param logRead whether it has read the log since it started: before that, it may have forgotten its vote
 * @param relaysHash a hash of the relays that it knows to be registered, see {@link RetiredWeights}
 */
public record RetirementReport(long retiredBefore, boolean logRead, long relaysHash) {
    /** The report of a relay that says nothing of it. */
    public static final RetirementReport NONE = new RetirementReport(0, false, 0);
}
