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

/** Entries that keep the configuration alive in a log that forgets, through restarts, edits and outages. */
class ConfigurationUpkeepTest {
    private static final long MINUTE = 60_000_000;
    private static final long HOUR = 60 * MINUTE;
    private static final RefresherSettings SETTINGS = RefresherSettings.DEFAULT;

    /** What the log must keep by the settings: thrice the age of a text, and an outage of an hour. */
    private static final long RETENTION = 10 * HOUR;

    private final Random random = new Random(3);
    private final NaiveConfiguration log = new NaiveConfiguration();
    private final List<Long> times = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Map<Class<?>, Integer> written = new HashMap<>();
    private int first = 1;
    private long now;
    private boolean logDown;

    @Test
    void manyEntriesWriteLittleMoreThanOneWould() {
        // The log's appends go to upkeep when a hundred entries each write every document anew. Whoever comes first
        // puts
        // the others off, since they read what it wrote.
        for (int count = 0; count < 100; count++) {
            entries.add(new Entry());
        }
        for (int service = 0; service < 60; service++) {
            append(List.of(new LogEntry.DocumentEdit(new ServiceName("service-" + service), 0, "text")));
        }
        pass(24 * HOUR);
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
                append(List.of(new LogEntry.DocumentEdit(service, log.revisionAt(log.end(), service), "edit" + hour)));
            }
            if (random.nextInt(3) == 0) {
                entries.set(random.nextInt(entryCount), new Entry());
            }
            pass(HOUR);
        }
        logDown = false;
        entries.add(new Entry());
        pass(2 * MINUTE);
        for (Entry each : entries) {
            assertThat(each.ledger.isComplete()).isTrue();
            for (ServiceName service : services) {
                DocumentRevision document = each.ledger.document(service).orElseThrow();
                assertThat(document.revision()).isEqualTo(log.revisionAt(log.end(), service));
                assertThat(document.text()).hasValue(log.text(document.revision()));
            }
        }
    }

    @Test
    void afterTheLogForgotAllWhileNobodyWroteItTheEntriesAgreeOnWhatPeersHold() {
        // Publishing is refused for good after a long silence. All records were dropped while no entry ran, so no index
        // holds for anybody, and each waits for another to write one.
        ServiceName service = new ServiceName("palivo-llm");
        append(List.of(new LogEntry.DocumentEdit(service, 0, "kept by a companion")));
        Entry companion = new Entry();
        companion.tick();
        now += 2 * RETENTION;
        append(List.of(new LogEntry.DocumentEdit(service, 0, "void")));
        forget();
        Entry one = new Entry();
        Entry other = new Entry();
        entries.addAll(List.of(one, other));
        companion.ledger.snapshot().forEach(one.ledger::apply);
        pass(3 * HOUR);
        for (Entry each : entries) {
            assertThat(each.ledger.isComplete()).isTrue();
            assertThat(each.ledger.revision(service)).isEqualTo(1);
        }
    }

    private void pass(long micros) {
        long end = now + micros;
        while (now < end) {
            now += MINUTE / 6;
            forget();
            entries.forEach(Entry::tick);
        }
    }

    private void forget() {
        while (first <= times.size() && times.get(first - 1) < now - RETENTION) {
            first++;
        }
    }

    private void append(List<LogEntry> batch) {
        log.append(new LogBatch(1, times.size() + 1, batch));
        times.add(now);
        batch.forEach(entry -> written.merge(entry.getClass(), 1, Integer::sum));
    }

    private final class Entry {
        private final ConfigurationLedger ledger = new ConfigurationLedger();
        private final ConfigurationRefresher upkeep = new ConfigurationRefresher(SETTINGS, random);
        private int next = 1;

        void tick() {
            if (logDown) {
                return;
            }
            for (next = Math.max(next, first); next <= log.end(); next++) {
                LogRecord record = log.record(next);
                ledger.apply(record);
            }
            upkeep.tick(ledger, now, entry -> append(List.of(entry)));
        }
    }
}
