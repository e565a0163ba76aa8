package org.rattanrudder.core.cache.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.rattanrudder.core.model.Digest;

/** The cost of a run over a trace. A block counts as recomputed if it had been computed before. */
final class Outcome {
    static final String HEADER = "| policy | recomputed | computed | / naive | / clairvoyant | fetched GB | exported GB"
            + " | link bytes / clairvoyant | p50 ms | p95 ms |\n| --- "
            + "| ---: ".repeat(9) + "|";

    private final Set<Digest> computed = new HashSet<>();
    private final List<Long> firstTokenMicros = new ArrayList<>();
    private long reusedBlocks;
    private long recomputedBlocks;
    private long requestedBlocks;
    private long computedBlocks;
    long fetchedBytes;
    long exportedBytes;

    void recordRun(List<Digest> names, int cached, long firstTokenMicros) {
        for (int index = 0; index < names.size(); index++) {
            boolean before = !computed.add(names.get(index));
            requestedBlocks++;
            computedBlocks += index >= cached ? 1 : 0;
            reusedBlocks += before ? 1 : 0;
            recomputedBlocks += before && index >= cached ? 1 : 0;
        }
        this.firstTokenMicros.add(firstTokenMicros);
    }

    double recomputedShare() {
        return (double) recomputedBlocks / reusedBlocks;
    }

    long linkBytes() {
        return fetchedBytes + exportedBytes;
    }

    String row(String name, Outcome naive, Outcome clairvoyant) {
        Collections.sort(firstTokenMicros);
        return String.format(
                Locale.ROOT,
                "| %s | %.3f | %.3f | %.2f | %s | %.1f | %.1f | %.2f | %.0f | %.0f |",
                name,
                recomputedShare(),
                (double) computedBlocks / requestedBlocks,
                recomputedShare() / naive.recomputedShare(),
                clairvoyant.recomputedBlocks == 0
                        ? "-"
                        : String.format(Locale.ROOT, "%.2f", recomputedShare() / clairvoyant.recomputedShare()),
                fetchedBytes / 1e9,
                exportedBytes / 1e9,
                (double) linkBytes() / Math.max(1, clairvoyant.linkBytes()),
                percentile(0.5),
                percentile(0.95));
    }

    private double percentile(double share) {
        return firstTokenMicros.get((int) (share * (firstTokenMicros.size() - 1))) / 1e3;
    }
}
