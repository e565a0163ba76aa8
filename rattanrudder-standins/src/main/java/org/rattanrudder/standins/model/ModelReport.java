package org.rattanrudder.standins.model;

import java.util.Collection;
import java.util.List;

/**
 * What callers got on a day.
 *
 * @param asked requests
 * @param onTime of these, the part that was served in full with its first token within the objective
 * @param late the part that was served later
 * @param refused the part that ended refused
 * @param medianMillis the median time to the first token, in ms
 * @param slowMillis the time that 95 in 100 first tokens kept, in ms
 * @param readAgain tokens of shared parts that were read though some engine had read them, by tokens read
 * @param preempted requests that lost their memory while they ran
 * @param sentAbove the part of all sends to engines with over a quarter more work than memory
 * @param messages messages that relays made
 * @param limitedSends requests that engines got while they named a rate limit
 * @param mostToLimitedEngine the most of these that one engine got within four seconds
 * @param turnedAway requests that engines turned away
 * @param mostTurnedAwayAtOnce the most of these at one engine within a tenth of a second
 */
public record ModelReport(
        int asked,
        double onTime,
        double late,
        double refused,
        long medianMillis,
        long slowMillis,
        double readAgain,
        int preempted,
        double sentAbove,
        long messages,
        int limitedSends,
        int mostToLimitedEngine,
        int turnedAway,
        int mostTurnedAwayAtOnce) {
    private static final double SLOW = 0.95;

    static ModelReport of(List<ModelRequest> requests, Collection<ModelEngine> engines, ModelTally tally) {
        int asked = Math.max(1, requests.size());
        List<Long> first = requests.stream()
                .map(ModelRequest::firstMillis)
                .filter(millis -> millis >= 0)
                .sorted()
                .toList();
        long served = requests.stream().filter(ModelRequest::isServed).count();
        long onTime = requests.stream().filter(ModelRequest::isOnTime).count();
        long refused = requests.stream()
                .filter(request -> request.refusals() > 0 && request.firstMillis() < 0)
                .count();
        long read =
                engines.stream().mapToLong(engine -> engine.work().tokensRead()).sum();
        long again = engines.stream()
                .mapToLong(engine -> engine.work().tokensReadAgain())
                .sum();
        return new ModelReport(
                requests.size(),
                (double) onTime / asked,
                (double) (served - onTime) / asked,
                (double) refused / asked,
                at(first, 0.5),
                at(first, SLOW),
                (double) again / Math.max(1, read),
                engines.stream().mapToInt(engine -> engine.work().preempted()).sum(),
                tally.shareAbove(),
                tally.messages(),
                tally.toLimitedEngines(),
                tally.mostToLimitedEngine(),
                tally.turnedAway(),
                tally.mostTurnedAwayAtOnce());
    }

    private static long at(List<Long> sorted, double part) {
        return sorted.isEmpty() ? -1 : sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size()));
    }
}
