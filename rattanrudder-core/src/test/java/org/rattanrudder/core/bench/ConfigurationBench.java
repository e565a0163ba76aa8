package org.rattanrudder.core.bench;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.zip.GZIPOutputStream;
import org.rattanrudder.core.configuration.ConfigurationLedger;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.model.ServiceName;

/**
 * Measures what a day of configuration records costs a process: the time to apply a record, the bytes read and kept,
 * and the time in which a process that starts late applies the whole day.
 */
public final class ConfigurationBench {
    private static final int WARM_UP_RUNS = 5;
    private static final int MEASURED_RUNS = 9;
    private static final int SECONDS_PER_DAY = 86_400;

    private ConfigurationBench() {}

    /** Prints the table. */
    public static void main(String[] arguments) throws IOException {
        System.out.println("| edits a day | services | customers | document bytes | gzip bytes | read B/s | gzip B/s"
                + " | fold ns/record | day folded ms | texts kept kB |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        int[][] sizes = {{100, 6, 10}, {1_000, 20, 100}, {10_000, 60, 430}, {15_000, 60, 430}, {15_000, 6, 2_600}};
        for (int[] size : sizes) {
            measure(size[0], size[1], size[2]);
        }
    }

    private static void measure(int edits, int services, int customers) throws IOException {
        String text = document(customers);
        List<LogRecord> day = day(edits, services, text);
        long best = Long.MAX_VALUE;
        for (int run = 0; run < WARM_UP_RUNS + MEASURED_RUNS; run++) {
            long began = System.nanoTime();
            ConfigurationLedger ledger = new ConfigurationLedger();
            day.forEach(ledger::apply);
            long took = System.nanoTime() - began;
            if (ledger.documents().size() != services) {
                throw new IllegalStateException("the fold lost a service");
            }
            best = run < WARM_UP_RUNS ? best : Math.min(best, took);
        }
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        int gzipBytes = gzipBytes(text);
        long texts = day.stream().filter(ConfigurationBench::hasText).count();
        System.out.printf(
                "| %d | %d | %d | %d | %d | %d | %d | %d | %.1f | %d |%n",
                edits,
                services,
                customers,
                bytes,
                gzipBytes,
                texts * bytes / SECONDS_PER_DAY,
                texts * gzipBytes / SECONDS_PER_DAY,
                best / day.size(),
                best / 1e6,
                (long) services * bytes / 1000);
    }

    private static boolean hasText(LogRecord record) {
        return !(record.batch().entries().get(0) instanceof LogEntry.RevisionIndex);
    }

    /**
     * Returns the records of a day: edits, each based on the revision in force, 144 indexes, and eight refreshes per
     * service.
     */
    private static List<LogRecord> day(int edits, int services, String text) {
        List<LogRecord> day = new ArrayList<>();
        ConfigurationLedger ledger = new ConfigurationLedger();
        int indexEvery = Math.max(1, edits / 144);
        int refreshEvery = Math.max(1, edits / (8 * services));
        for (int edit = 0; edit < edits; edit++) {
            ServiceName service = new ServiceName("service-" + edit % services);
            add(day, ledger, new LogEntry.DocumentEdit(service, ledger.revision(service), text));
            if (edit % refreshEvery == 0) {
                add(day, ledger, new LogEntry.DocumentRefresh(service, ledger.revision(service), text));
            }
            if (edit % indexEvery == 0) {
                add(day, ledger, ledger.nextIndex());
            }
        }
        return day;
    }

    private static void add(List<LogRecord> day, ConfigurationLedger ledger, LogEntry entry) {
        LogRecord record = new LogRecord(day.size() + 1, new LogBatch(1, day.size() + 1, List.of(entry)));
        ledger.apply(record);
        day.add(record);
    }

    /** Returns a document text with the given number of customers, each with one credential digest. */
    private static String document(int customers) {
        StringBuilder text =
                new StringBuilder("{\n  // a service\n  \"service\": \"palivo-llm\",\n  \"customers\": [\n");
        Random random = new Random(1);
        for (int customer = 0; customer < customers; customer++) {
            text.append("    {\"name\": \"customer-").append(customer).append("\", \"credentials\": [\"sha-256:");
            for (int digit = 0; digit < 8; digit++) {
                text.append(String.format("%08x", random.nextInt()));
            }
            text.append("\"], \"share\": 1},\n");
        }
        return text.append("  ]\n}\n").toString();
    }

    private static int gzipBytes(String text) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream stream = new GZIPOutputStream(bytes)) {
            stream.write(text.getBytes(StandardCharsets.UTF_8));
        }
        return bytes.size();
    }
}
