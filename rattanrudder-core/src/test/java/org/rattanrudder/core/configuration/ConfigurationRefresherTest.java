package org.rattanrudder.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

/**
 * Simulates entries that refresh the configuration in a log with limited retention, through restarts, edits and
 * outages.
 */
class ConfigurationRefresherTest {
    private static final long MINUTE_MICROS = 60_000_000;
    private static final long HOUR_MICROS = 60 * MINUTE_MICROS;
    private static final RefresherSettings SETTINGS = RefresherSettings.DEFAULT;

    /** The retention that the settings require: three times the maximum age of a text, plus a one-hour outage. */
    private static final long LOG_RETENTION_MICROS = 10 * HOUR_MICROS;

    private final Random random = new Random(3);
    private final ReferenceConfiguration log = new ReferenceConfiguration();
    private final List<Long> times = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Map<Class<?>, Integer> written = new HashMap<>();
    private int firstRetained = 1;
    private long now;
    private boolean logDown;

    @Test
    void manyEntriesAppendLittleMoreThanASingleOne() {
        // Failure: a hundred entries each refresh every document and use up the log's append rate. The first one to
        // append must postpone the others.
        for (int count = 0; count < 100; count++) {
            entries.add(new Entry());
        }
        for (int service = 0; service < 60; service++) {
            append(List.of(new LogEntry.DocumentEdit(new ServiceName("service-" + service), 0, "text")));
        }
        advance(24 * HOUR_MICROS);
        assertThat(written.get(LogEntry.RevisionIndex.class)).isBetween(90, 170);
        assertThat(written.get(LogEntry.DocumentRefresh.class)).isBetween(60 * 5, 60 * 9);
    }

    @Property(seed = "20263", tries = 12)
    void documentsOutliveRetentionThroughRestartsEditsAndOutages(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int entryCount) {
        random.setSeed(seed);
        List<ServiceName> services = List.of(new ServiceName("palivo-llm"), new ServiceName("dam-status"));
        services.forEach(each -> append(List.of(new LogEntry.DocumentEdit(each, 0, "first"))));
        for (int count = 0; count < entryCount; count++) {
            entries.add(new Entry());
        }
        for (int hour = 0; hour < 60; hour++) {
            logDown = random.nextInt(8) == 0;
            if (!logDown && random.nextInt(6) == 0) {
                ServiceName service = services.get(random.nextInt(2));
                append(List.of(
                        new LogEntry.DocumentEdit(service, log.revisionAt(log.lastOffset(), service), "edit" + hour)));
            }
            if (random.nextInt(3) == 0) {
                entries.set(random.nextInt(entryCount), new Entry());
            }
            advance(HOUR_MICROS);
        }
        logDown = false;
        entries.add(new Entry());
        advance(2 * MINUTE_MICROS);
        for (Entry each : entries) {
            assertThat(each.ledger.isComplete()).isTrue();
            for (ServiceName service : services) {
                DocumentRevision document = each.ledger.document(service).orElseThrow();
                assertThat(document.revision()).isEqualTo(log.revisionAt(log.lastOffset(), service));
                assertThat(document.text()).hasValue(log.text(document.revision()));
            }
        }
    }

    @Test
    void afterAllRecordsWereDroppedTheEntriesAgreeOnThePeersConfiguration() {
        // Failure: publishing is refused permanently. All records were dropped while no entry ran, so no index is valid
        // and each entry waits for another to write one.
        ServiceName service = new ServiceName("palivo-llm");
        append(List.of(new LogEntry.DocumentEdit(service, 0, "kept by a companion")));
        Entry companion = new Entry();
        companion.tick();
        now += 2 * LOG_RETENTION_MICROS;
        append(List.of(new LogEntry.DocumentEdit(service, 0, "void")));
        applyRetention();
        Entry one = new Entry();
        Entry other = new Entry();
        entries.addAll(List.of(one, other));
        companion.ledger.snapshot().forEach(one.ledger::apply);
        advance(3 * HOUR_MICROS);
        for (Entry each : entries) {
            assertThat(each.ledger.isComplete()).isTrue();
            assertThat(each.ledger.revision(service)).isEqualTo(1);
        }
    }

    private void advance(long micros) {
        long end = now + micros;
        while (now < end) {
            now += MINUTE_MICROS / 6;
            applyRetention();
            entries.forEach(Entry::tick);
        }
    }

    private void applyRetention() {
        while (firstRetained <= times.size() && times.get(firstRetained - 1) < now - LOG_RETENTION_MICROS) {
            firstRetained++;
        }
    }

    private void append(List<LogEntry> batch) {
        log.append(new LogBatch(1, times.size() + 1, batch));
        times.add(now);
        batch.forEach(entry -> written.merge(entry.getClass(), 1, Integer::sum));
    }

    private final class Entry {
        private final ConfigurationLedger ledger = new ConfigurationLedger();
        private final ConfigurationRefresher refresher = new ConfigurationRefresher(SETTINGS, random);
        private int next = 1;

        void tick() {
            if (logDown) {
                return;
            }
            for (next = Math.max(next, firstRetained); next <= log.lastOffset(); next++) {
                LogRecord record = log.record(next);
                ledger.apply(record);
            }
            refresher.tick(ledger, now, entry -> append(List.of(entry)));
        }
    }
}
