package org.rattanrudder.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.ServiceName;

/**
 * Keeps the configuration available beyond the log's retention by appending indexes of all revisions and refreshing
 * texts.
 *
 * <p>It runs in every entry; there is no leader. Each entry draws a random time, and the first one to append postpones
 * the others, since they read its record. Concurrent appends do no harm: the second index is void, and a refresh of a
 * known revision has no effect. The age of a text is counted in indexes, which are in the log, so that it doesn't start
 * at zero again with each restarted process.
 */
public final class ConfigurationRefresher {
    private static final long UNSET = -1;

    private final RefresherSettings settings;
    private final RandomGenerator random;
    private final Map<ServiceName, Long> nextRefreshMicros = new HashMap<>();
    private long lastIndexCount = UNSET;
    private long nextIndexMicros;
    private long recoveryAtMicros = UNSET;

    /**
     * Creates a refresher without any scheduled times.
     *
     * @param settings the intervals
     * @param random draws the jitter
     */
    public ConfigurationRefresher(RefresherSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Passes on the entries that are due now. Call it only while the log is readable and was read to its end.
     *
     * @param ledger the state at the end of the log
     * @param nowMicros the time in microseconds
     * @param append appends an entry to the log
     */
    public void tick(ConfigurationLedger ledger, long nowMicros, Consumer<LogEntry> append) {
        if (!ledger.isComplete()) {
            recover(ledger, nowMicros, append);
            return;
        }
        recoveryAtMicros = UNSET;
        if (ledger.lastOffset() == 0) {
            return;
        }
        if (ledger.indexCount() != lastIndexCount) {
            boolean started = lastIndexCount == UNSET;
            lastIndexCount = ledger.indexCount();
            nextIndexMicros = nowMicros + (started ? 0 : settings.indexIntervalMicros()) + jitter();
        }
        if (nowMicros >= nextIndexMicros) {
            nextIndexMicros = nowMicros + jitter();
            append.accept(ledger.nextIndex());
        }
        ledger.documents().forEach(document -> refresh(document, ledger.indexCount(), nowMicros, append));
    }

    private void refresh(DocumentRevision document, long indexCount, long nowMicros, Consumer<LogEntry> append) {
        boolean old = indexCount - document.textIndexCount() >= settings.refreshAfterIndexes();
        if (!old || document.text().isEmpty()) {
            nextRefreshMicros.remove(document.service());
            return;
        }
        Long due = nextRefreshMicros.get(document.service());
        if (due != null && nowMicros >= due) {
            append.accept(new LogEntry.DocumentRefresh(
                    document.service(), document.revision(), document.text().get()));
        }
        if (due == null || nowMicros >= due) {
            nextRefreshMicros.put(document.service(), nowMicros + jitter());
        }
    }

    /**
     * Failure: all processes that had the revisions were down for longer than the log retains records. Then no reader
     * is complete, no index is valid, no edit is decided, and publishing is refused for good. A complete process that
     * reaches the log appends an index each interval, so if none has appeared for many intervals, there is no complete
     * process, and the state that this process got from its peers becomes the configuration. The first such index in
     * the log's order is valid for all readers.
     */
    private void recover(ConfigurationLedger ledger, long nowMicros, Consumer<LogEntry> append) {
        if (recoveryAtMicros == UNSET) {
            recoveryAtMicros = nowMicros + settings.recoveryDelayMicros() + jitter();
        }
        if (nowMicros >= recoveryAtMicros) {
            recoveryAtMicros = nowMicros + jitter();
            append.accept(ledger.nextIndex());
        }
    }

    private long jitter() {
        return 1 + random.nextLong(settings.indexIntervalMicros() / 2);
    }
}
