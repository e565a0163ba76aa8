package org.rattanrudder.core.fleet;

import java.util.function.BooleanSupplier;

/**
 * How fast the targets of a service usually are: their prefill speed and base time, learned from responses of all of
 * them.
 *
 * <p>The learned figures apply while targets of the service report a pace, or where callers compete for capacity. For
 * all other services, and until responses were seen, the expected figures apply.
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class ServiceCapacity {
    /** Expected prefill speed of an engine, in tokens/ms. */
    public static final double EXPECTED_TOKENS_PER_MILLI = 100;

    /** Expected time to the first event of a healthy engine in addition to prefill, in ms. */
    public static final double EXPECTED_BASE_MILLIS = 80;

    /** How long targets count as reporting a pace after the last report. */
    static final long PACED_MILLIS = 60_000;

    /** Samples of full weight from which on the learned figures suffice to compare single targets with them. */
    private static final double SETTLED_SAMPLES = 40;

    /**
     * Share of samples without a fetch from which on those with one are ignored: a wait for a slow link must not be
     * learned as the engines' time.
     */
    private static final double SUFFICIENT_UNFETCHED = 0.1;

    /** Share by which a sample moves the running means over prompts. */
    private static final double PROMPT_STEP = 0.02;

    /** Share by which a sample lowers the largest prompt: a size that is rare must still be known when it recurs. */
    private static final double LARGEST_PROMPT_STEP = 0.002;

    private final PrefillRegression prefill = new PrefillRegression(EXPECTED_BASE_MILLIS, EXPECTED_TOKENS_PER_MILLI);
    private final BooleanSupplier alwaysLearned;
    private final double paceFadeMillis;
    private long pacedUntil = Long.MIN_VALUE;
    private double prefillShare = 1;
    private double largestPrompt;
    private double unfetchedShare;

    ServiceCapacity() {
        this(() -> false);
    }

    /**
     * Creates the figures of a service.
     *
     * @param alwaysLearned whether learned figures apply although no target reports a pace
     */
    ServiceCapacity(BooleanSupplier alwaysLearned) {
        this(ReportedPace.USUAL_FADE_MILLIS, alwaysLearned);
    }

    /** Creates the figures of a service whose targets' reports have no influence from the given age on. */
    ServiceCapacity(double paceFadeMillis) {
        this(paceFadeMillis, () -> false);
    }

    private ServiceCapacity(double paceFadeMillis, BooleanSupplier alwaysLearned) {
        this.paceFadeMillis = paceFadeMillis;
        this.alwaysLearned = alwaysLearned;
    }

    /** Returns the estimate of the pace of one target, of which nothing was reported. */
    ReportedPace newPace() {
        return new ReportedPace(paceFadeMillis);
    }

    /** Records that a target has reported a pace. */
    void onPaceReported(long nowMillis) {
        pacedUntil = nowMillis + PACED_MILLIS;
    }

    /** Returns whether learned figures apply: a target has reported a pace lately, or they apply in any case. */
    public boolean usesLearnedFigures(long nowMillis) {
        return nowMillis < pacedUntil || alwaysLearned.getAsBoolean();
    }

    /** Records a sample, with the pace that was reported after it. */
    void record(FirstEventSample sample, double paceAfter, int slots) {
        if (sample.promptTokens() > 0) {
            double share = (double) sample.prefillTokens() / sample.promptTokens();
            prefillShare += PROMPT_STEP * (Math.min(1, share) - prefillShare);
        }
        largestPrompt = Math.max(sample.prefillTokens(), largestPrompt * (1 - LARGEST_PROMPT_STEP));
        unfetchedShare += PROMPT_STEP * ((sample.fetchMillis() > 0 ? 0 : 1) - unfetchedShare);
        double weight = weight(sample, paceAfter, slots);
        if (weight > 0) {
            prefill.record(sample.totalTokens(), sample.millisWithoutFetch() / sample.meanPace(paceAfter), weight);
        }
    }

    /** Returns how much a sample says, from 0 to 1. */
    double weight(FirstEventSample sample, double paceAfter, int slots) {
        double ownShare = prefill.expectedMillis(sample.prefillTokens()) / prefill.expectedMillis(sample.totalTokens());
        double weight = sample.weight(ownShare, slots, paceAfter);
        return sample.fetchMillis() > 0 ? weight * Math.max(0, 1 - unfetchedShare / SUFFICIENT_UNFETCHED) : weight;
    }

    /** Returns the expected time of a sample at the usual pace, in ms. */
    double expectedMillis(FirstEventSample sample) {
        return prefill.expectedMillis(sample.totalTokens());
    }

    /** Returns whether enough was learned to compare single targets with it. */
    boolean isSettled() {
        return prefill.recorded() >= SETTLED_SAMPLES;
    }

    /** Returns the prefill speed of its engines at the usual pace, in tokens/ms. */
    public double prefillTokensPerMilli(long nowMillis) {
        return usesLearnedFigures(nowMillis) ? prefill.tokensPerMilli() : EXPECTED_TOKENS_PER_MILLI;
    }

    /** Returns the time to the first event of its engines at the usual pace without prefill, in ms. */
    public double baseMillis(long nowMillis) {
        return usesLearnedFigures(nowMillis) ? prefill.baseMillis() : EXPECTED_BASE_MILLIS;
    }

    /** Returns the learned time to the first event of a request with so many tokens at the usual pace, in ms. */
    double usualMillis(int tokens) {
        return prefill.expectedMillis(prefillShare * tokens);
    }

    /** Returns the largest number of tokens that a recent prompt had to prefill. */
    double largestPrompt() {
        return largestPrompt;
    }
}
