package org.rattanrudder.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.ServiceName;

/**
 * Keeps the configuration readable in the log past its retention: indexes of all revisions, and texts written again.
 *
 * <p>Every entry runs it and none is set aside for it. Each waits for a time that it draws, and whoever comes first
 * puts the others off, since they read what it wrote. Two that come at once do no harm: the second index is void, and a
 * refresh changes nothing. The age of a text is counted in indexes, which the log itself holds, so that it doesn't
 * start anew with each process that is replaced.
 */
public final class ConfigurationRefresher {
    private static final long NOT_DRAWN = -1;

    private final RefresherSettings settings;
    private final RandomGenerator random;
    private final Map<ServiceName, Long> refreshMicros = new HashMap<>();
    private long indexesSeen = NOT_DRAWN;
    private long indexMicros;
    private long unsettledMicros = NOT_DRAWN;

    /**
     * Starts without any time drawn.
     *
     * @param settings how often
     * @param random draws the times
     */
    public ConfigurationRefresher(RefresherSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Hands over the entries that are due now. To be called only while the log can be read and its end was reached.
     *
     * @param ledger the state at the log's end
     * @param nowMicros the time in microseconds
     * @param append takes each entry
     */
    public void tick(ConfigurationLedger ledger, long nowMicros, Consumer<LogEntry> append) {
        if (!ledger.isComplete()) {
            recover(ledger, nowMicros, append);
            return;
        }
        unsettledMicros = NOT_DRAWN;
        if (ledger.lastOffset() == 0) {
            return;
        }
        if (ledger.indexes() != indexesSeen) {
            boolean started = indexesSeen == NOT_DRAWN;
            indexesSeen = ledger.indexes();
            indexMicros = nowMicros + (started ? 0 : settings.periodMicros()) + jitter();
        }
        if (nowMicros >= indexMicros) {
            indexMicros = nowMicros + jitter();
            append.accept(ledger.index());
        }
        ledger.documents().forEach(document -> refresh(document, ledger.indexes(), nowMicros, append));
    }

    private void refresh(DocumentRevision document, long indexes, long nowMicros, Consumer<LogEntry> append) {
        boolean old = indexes - document.textIndex() >= settings.refreshAfterIndexes();
        if (!old || document.text().isEmpty()) {
            refreshMicros.remove(document.service());
            return;
        }
        Long due = refreshMicros.get(document.service());
        if (due != null && nowMicros >= due) {
            append.accept(new LogEntry.DocumentRefresh(
                    document.service(), document.revision(), document.text().get()));
        }
        if (due == null || nowMicros >= due) {
            refreshMicros.put(document.service(), nowMicros + jitter());
        }
    }

    /**
     * Failure: every process that knew the revisions was gone for longer than the log keeps records. Then no index can
     * hold for anybody, no edit is decided any more, and publishing is refused for good. A settled process that reaches
     * the log writes an index each period, so after many periods without one there is none, and what this process knows
     * from its peers becomes the state. The first such index in the log's order holds, for all.
     */
    private void recover(ConfigurationLedger ledger, long nowMicros, Consumer<LogEntry> append) {
        if (unsettledMicros == NOT_DRAWN) {
            unsettledMicros = nowMicros + settings.recoveryMicros() + jitter();
        }
        if (nowMicros >= unsettledMicros) {
            unsettledMicros = nowMicros + jitter();
            append.accept(ledger.index());
        }
    }

    private long jitter() {
        return 1 + random.nextLong(settings.periodMicros() / 2);
    }
}
