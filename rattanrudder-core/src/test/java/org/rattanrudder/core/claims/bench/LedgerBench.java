package org.rattanrudder.core.claims.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.rattanrudder.core.claims.KeyLedger;
import org.rattanrudder.core.claims.RecordedAnswer;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;

/** Measures the memory that a key takes in the ledger, and the time to apply its claim and outcome. */
public final class LedgerBench {
    private static final ServiceName SERVICE = new ServiceName("fuel-ledger");
    private static final int ROUNDS = 3;
    private static final int WARM_UP_KEYS = 50_000;

    private static KeyLedger retained;

    private LedgerBench() {}

    /** Prints one row for each number of keys, from the last of three rounds, after warm-up rounds. */
    public static void main(String[] arguments) {
        System.out.println("| keys | bytes a key | ns a claim | ns an outcome | ns a look-up |");
        System.out.println("| ---: | ---: | ---: | ---: | ---: |");
        for (int round = 0; round < ROUNDS; round++) {
            measure(WARM_UP_KEYS);
        }
        for (int keys : new int[] {10_000, 100_000, 1_000_000}) {
            String row = "";
            for (int round = 0; round < ROUNDS; round++) {
                row = measure(keys);
            }
            System.out.println(row);
        }
    }

    private static String measure(int keys) {
        LogEntry[] claims = new LogEntry[keys];
        LogEntry[] outcomes = new LogEntry[keys];
        retained = null;
        long before = usedBytes();
        // Digests and entries are created for each key, as a reader's codec does, and are included in the memory.
        for (int key = 0; key < keys; key++) {
            Digest digest = Digest.of("key", Integer.toString(key));
            claims[key] = new LogEntry.KeyClaim(digest, Digest.of("request", "" + key), 1, SERVICE, 0);
            outcomes[key] = RecordedAnswerEntry.of(digest);
        }
        KeyLedger ledger = new KeyLedger(0);
        retained = ledger;
        long started = System.nanoTime();
        for (int key = 0; key < keys; key++) {
            ledger.apply(key + 1, 1, claims[key], key);
        }
        long claimed = System.nanoTime();
        for (int key = 0; key < keys; key++) {
            ledger.apply(keys + key + 1, 1, outcomes[key], key);
        }
        long answered = System.nanoTime();
        int found = 0;
        for (int key = 0; key < keys; key++) {
            found += ledger.state(((LogEntry.KeyClaim) claims[key]).key()).isPresent() ? 1 : 0;
        }
        long looked = System.nanoTime();
        Arrays.fill(claims, null);
        Arrays.fill(outcomes, null);
        long bytes = usedBytes() - before;
        if (found != keys || retained.size() != keys || claims.length != outcomes.length) {
            throw new IllegalStateException("the ledger lost keys");
        }
        return String.format(
                Locale.ROOT,
                "| %,d | %d | %d | %d | %d |",
                keys,
                bytes / keys,
                (claimed - started) / keys,
                (answered - claimed) / keys,
                (looked - answered) / keys);
    }

    private static long usedBytes() {
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Creates outcomes without bodies, since bodies have a memory limit of their own. */
    private static final class RecordedAnswerEntry {
        private RecordedAnswerEntry() {}

        private static LogEntry of(Digest key) {
            RecordedAnswer answer = RecordedAnswer.of(201, List.of(), new byte[0], 0);
            return new LogEntry.KeyOutcome(key, answer.status(), answer.headers(), answer.body());
        }
    }
}
