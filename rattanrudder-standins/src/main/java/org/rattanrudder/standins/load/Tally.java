package org.rattanrudder.standins.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts how the requests of a load ended. */
final class Tally {
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(5);

    final Histogram firstToken = new ConcurrentHistogram(LONGEST_MICROS, 3);
    final Histogram entryTime = new ConcurrentHistogram(LONGEST_MICROS, 3);
    final Histogram refusalTime = new ConcurrentHistogram(LONGEST_MICROS, 3);
    private final Map<String, Integer> kinds = new TreeMap<>();
    private int sent;
    private int answered;
    private int notRun;
    private int unknown;
    private int lost;
    private int crossed;
    private long promptTokens;
    private long cachedTokens;

    /** Takes the end of a request. {@code lateMicros} is how much later than due it was sent. */
    synchronized void take(LoadRequest request, Answer answer, long lateMicros) {
        sent++;
        long firstByte = lateMicros + TimeUnit.NANOSECONDS.toMicros(answer.firstByteNanos());
        if (answer.error().isPresent()) {
            takeError(answer);
        } else if (answer.broken() || answer.status() == 0 || request.isPrompt() && !answer.isDone()) {
            lost++;
        } else if (!request.isPrompt()) {
            answered++;
            entryTime.recordValue(Math.min(LONGEST_MICROS, firstByte));
        } else if (!answer.content().equals(Caller.expected(request.text(), request.answerTokens()))) {
            crossed++;
        } else {
            answered++;
            firstToken.recordValue(Math.min(LONGEST_MICROS, firstByte));
            promptTokens += answer.usage().path("prompt_tokens").asLong();
            cachedTokens += answer.cachedTokens();
        }
    }

    private void takeError(Answer answer) {
        kinds.merge(answer.errorKind(), 1, Integer::sum);
        if (answer.runState().equals("not_run")) {
            notRun++;
            refusalTime.recordValue(Math.min(LONGEST_MICROS, TimeUnit.NANOSECONDS.toMicros(answer.endNanos())));
        } else {
            unknown++;
        }
    }

    synchronized String counts() {
        return String.format("%d | %d | %d | %d | %d | %d", sent, answered, notRun, unknown, lost, crossed);
    }

    /** Returns how often each kind of error came. */
    synchronized Map<String, Integer> kinds() {
        return Map.copyOf(kinds);
    }

    synchronized double recomputedShare() {
        return promptTokens == 0 ? 0 : 1 - (double) cachedTokens / promptTokens;
    }

    static String millis(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0
                ? "-"
                : String.format("%.1f", histogram.getValueAtPercentile(percentile) / 1_000.0);
    }
}
