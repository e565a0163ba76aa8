package org.rattanrudder.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.ServiceName;

class KeyLedgerTest {
    private static final int KEYS = 4;

    /** Compares the ledger with a simple reference; a difference would let a key run twice or lose its answer. */
    @Property(seed = "41", tries = 500)
    void agreesWithASimpleReferenceOnEveryKey(@ForAll long seed) {
        Random random = new Random(seed);
        KeyLedger ledger = new KeyLedger(1_000_000);
        List<LoggedEntry> log = new ArrayList<>();
        for (int offset = 1; offset <= 120; offset++) {
            LoggedEntry logged = new LoggedEntry(offset, 1 + random.nextInt(4), randomEntry(random, offset));
            log.add(logged);
            ledger.apply(offset, logged.writer(), logged.entry(), 0);
            int claimedKeys = 0;
            for (int key = 0; key < KEYS; key++) {
                Optional<String> expected = referenceState(log, key(key));
                assertThat(ledger.state(key(key)).map(KeyLedgerTest::text)).isEqualTo(expected);
                claimedKeys += expected.isPresent() ? 1 : 0;
            }
            assertThat(ledger.size()).isEqualTo(claimedKeys);
        }
    }

    @Test
    void aboveTheBodyLimitTheOldestAnswersBecomeStatusOnly() {
        KeyLedger ledger = new KeyLedger(100);
        for (int key = 0; key < 3; key++) {
            ledger.apply(key + 1, 1, claim(key, 1, 0), 0);
            RecordedAnswer answer = RecordedAnswer.of(201, List.of(), new byte[50], 64);
            ledger.apply(key + 1, 1, answer.toEntry(key(key)), 0);
        }

        assertThat(answer(ledger, 0).isComplete()).isFalse();
        assertThat(answer(ledger, 0).status()).isEqualTo(201);
        assertThat(answer(ledger, 1).isComplete()).isTrue();
        assertThat(answer(ledger, 2).body()).hasSize(50);
    }

    /** Guards against keys that may be used again at once, by an offset of another writer that is yet to come. */
    @Test
    void anExpiryOfWhatIsYetToBeClaimedChangesNothing() {
        KeyLedger ledger = new KeyLedger(100);
        ledger.apply(1, 1, claim(0, 1, 0), 0);

        ledger.apply(2, 7, new LogEntry.KeysExpired(service(0), Long.MAX_VALUE), 0);

        assertThat(ledger.state(key(0))).isPresent();
        assertThat(ledger.expiredUpTo(service(0))).isZero();
    }

    private record LoggedEntry(long offset, long writer, LogEntry entry) {}

    private static LogEntry randomEntry(Random random, int offset) {
        int key = random.nextInt(KEYS);
        return switch (random.nextInt(9)) {
            case 0, 1, 2 -> claim(key, 1 + random.nextInt(4), random.nextInt(3) == 0 ? random.nextInt(offset) : 0);
            case 3 -> new LogEntry.KeyOutcome(key(key), 200 + offset, List.of(), new byte[random.nextInt(3)]);
            case 4, 5 -> new LogEntry.KeyRelease(key(key));
            case 6 -> new LogEntry.KeyUnresolved(key(key));
            case 7 -> new LogEntry.KeysExpired(service(key), Math.max(0, offset - 20 - random.nextInt(20)));
            default -> new LogEntry.ClaimantStarted(new InstanceName("slot-" + random.nextInt(2)));
        };
    }

    /** Computes the state of one key from the whole log, as simply as possible. */
    private static Optional<String> referenceState(List<LoggedEntry> log, Digest key) {
        Map<InstanceName, Long> last = new HashMap<>();
        long claimant = 0;
        long claimedAt = 0;
        String state = null;
        for (LoggedEntry logged : log) {
            boolean holds = "open".equals(state) && logged.writer() == claimant;
            if (logged.entry() instanceof LogEntry.KeyClaim claim && claim.key().equals(key)) {
                boolean free = state == null || claim.readOffset() >= claimedAt;
                if (free && claim.claimant() == logged.writer()) {
                    state = "open";
                    claimant = claim.claimant();
                    claimedAt = logged.offset();
                }
            } else if (logged.entry() instanceof LogEntry.KeyOutcome outcome
                    && outcome.key().equals(key)) {
                state = holds ? "status " + outcome.status() : state;
            } else if (logged.entry() instanceof LogEntry.KeyRelease release
                    && release.key().equals(key)) {
                state = holds ? null : state;
            } else if (logged.entry() instanceof LogEntry.KeyUnresolved unresolved
                    && unresolved.key().equals(key)) {
                state = holds ? "unresolved" : state;
            } else if (logged.entry() instanceof LogEntry.KeysExpired expired) {
                boolean ours = service(0).equals(expired.service()) == isOfFirstService(key);
                state = ours && claimedAt <= expired.upToOffset() ? null : state;
            } else if (logged.entry() instanceof LogEntry.ClaimantStarted started) {
                Long before = last.put(started.instance(), logged.writer());
                boolean gone = before != null && before != logged.writer() && before == claimant;
                state = gone && "open".equals(state) ? "unresolved" : state;
            }
        }
        return Optional.ofNullable(state);
    }

    private static String text(KeyState state) {
        if (state instanceof KeyState.Answered answered) {
            return "status " + answered.answer().status();
        }
        return state instanceof KeyState.Claimed ? "open" : "unresolved";
    }

    private static RecordedAnswer answer(KeyLedger ledger, int key) {
        return ((KeyState.Answered) ledger.state(key(key)).orElseThrow()).answer();
    }

    private static LogEntry claim(int key, long claimant, long readOffset) {
        return new LogEntry.KeyClaim(key(key), Digest.of("request"), claimant, service(key), readOffset);
    }

    private static Digest key(int number) {
        return new Digest(number, 0, 0, 0);
    }

    private static boolean isOfFirstService(Digest key) {
        return key.first() % 2 == 0;
    }

    private static ServiceName service(int key) {
        return new ServiceName("service-" + key % 2);
    }
}
