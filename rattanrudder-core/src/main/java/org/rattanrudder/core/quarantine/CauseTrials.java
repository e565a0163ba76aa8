package org.rattanrudder.core.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds how many requests are sent to find out whether a quarantined cause still crashes targets, over all relays.
 *
 * <p>Causes that have a specific feature in common share their trials, since one may turn out to be the other.
 */
final class CauseTrials {
    /** How many requests with a cause may be sent, over all relays. */
    static final int MAX_TRIALS = 2;

    /** How many of them there are if rarer features may be the cause: one may have been lost, or have had these. */
    static final int MAX_TRIALS_IN_DOUBT = 3;

    /** How long after the last crash requests aren't tried that have the rarer features too. */
    private static final long DISTINGUISHING_ONLY_MILLIS = TimeUnit.SECONDS.toMillis(20);

    /** How long after the last crash, or the trial before, each trial may begin. */
    private static final List<Long> DELAYS_MILLIS = List.of(TimeUnit.SECONDS.toMillis(5), TimeUnit.MINUTES.toMillis(2));

    /** How long a relay that may try a cause waits for a request with it. */
    private static final long PERMIT_MILLIS = TimeUnit.SECONDS.toMillis(20);

    private final Map<Cause, Trials> trials = new HashMap<>();
    private final Map<Cause, Long> permits = new HashMap<>();

    /** How often a cause was tried, and when this relay last heard of it. */
    private record Trials(int number, long lastAt) {}

    /** Records how often a cause was tried, as another relay has told. */
    void onTold(Cause cause, int number, long nowMillis) {
        if (number > number(cause)) {
            trials.put(cause, new Trials(number, nowMillis));
        }
    }

    /** Records that this relay alone may send a request with a cause. */
    void onGranted(Cause cause, int number, long nowMillis) {
        trials.put(cause, new Trials(number, nowMillis));
        permits.put(cause, nowMillis);
    }

    /** Returns how often a cause was tried. */
    int number(Cause cause) {
        return trials.entrySet().stream()
                .filter(entry -> entry.getKey().sharesSpecificFeature(cause))
                .mapToInt(entry -> entry.getValue().number())
                .max()
                .orElse(0);
    }

    /**
     * Returns whether a cause may be tried by a request that has it.
     *
     * @param sinceMillis when it was quarantined, or crashed a target last
     */
    boolean isDue(
            Cause cause, Alternatives alternatives, Collection<Feature> request, long sinceMillis, long nowMillis) {
        if (!isSuitable(alternatives, request, sinceMillis, nowMillis)) {
            return false;
        }
        if (!alternatives.isDoubtful()) {
            return isDue(cause, MAX_TRIALS, sinceMillis, nowMillis);
        }
        return alternatives.areDistinguishedBy(request)
                ? isDueInDoubt(cause, nowMillis)
                : isDue(cause, MAX_TRIALS - 1, sinceMillis, nowMillis);
    }

    /** Returns whether a request may be a trial: in doubt, those that settle it have precedence. */
    private static boolean isSuitable(
            Alternatives alternatives, Collection<Feature> request, long sinceMillis, long nowMillis) {
        return !alternatives.isDoubtful()
                || alternatives.areDistinguishedBy(request)
                || nowMillis - sinceMillis >= DISTINGUISHING_ONLY_MILLIS;
    }

    /** Returns whether it may be tried by a request that tells it from its alternatives: at once, or once more. */
    private boolean isDueInDoubt(Cause cause, long nowMillis) {
        Trials own = trials.get(cause);
        return number(cause) < MAX_TRIALS_IN_DOUBT && (own == null || nowMillis - own.lastAt() >= DELAYS_MILLIS.get(0));
    }

    private boolean isDue(Cause cause, int maxTrials, long sinceMillis, long nowMillis) {
        int number = number(cause);
        if (number >= maxTrials) {
            return false;
        }
        long tried = trials.entrySet().stream()
                .filter(entry -> entry.getKey().sharesSpecificFeature(cause))
                .mapToLong(entry -> entry.getValue().lastAt())
                .max()
                .orElse(sinceMillis);
        return nowMillis - Math.max(sinceMillis, tried) >= DELAYS_MILLIS.get(number);
    }

    /** Takes the permit to send a request with a cause, if there is one for such a request. */
    boolean take(
            Cause cause, Alternatives alternatives, Collection<Feature> request, long sinceMillis, long nowMillis) {
        permits.values().removeIf(since -> nowMillis - since >= PERMIT_MILLIS);
        return isSuitable(alternatives, request, sinceMillis, nowMillis) && permits.remove(cause) != null;
    }

    /** Forgets trials that are over for long. */
    void expire(long nowMillis) {
        trials.values().removeIf(known -> nowMillis - known.lastAt() >= Quarantine.QUARANTINE_MILLIS);
    }
}
