package org.rattanrudder.core.claims.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.rattanrudder.core.claims.ClaimSettings;
import org.rattanrudder.core.claims.KeyClaims;
import org.rattanrudder.core.claims.KeyDecision;
import org.rattanrudder.core.claims.KeyedCall;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.log.LogWriter;
import org.rattanrudder.core.log.LogWriterSettings;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.time.EventTime;

/** Simulates companions that claim the keys of calls at a given rate, and records the latencies that callers see. */
final class ClaimRateSimulation {
    static final long MICROS_PER_SECOND = 1_000_000;

    private static final ServiceName SERVICE = new ServiceName("fuel-ledger");
    private static final long CALL_DURATION_MICROS = 5_000;

    final EventQueue events = new EventQueue();
    final SimulatedLog log;
    final long tickMicros;
    int asked;
    int replayed;
    private final Random random = new Random(77);
    private final List<Companion> companions = new ArrayList<>();
    private final Map<AttemptId, Long> askedMicros = new HashMap<>();
    private final List<Long> claimMicros = new ArrayList<>();
    private final List<Long> refusalMicros = new ArrayList<>();
    private long sequence;

    ClaimRateSimulation(int writers, long intervalMicros, long tickMicros, double appendsPerSecond) {
        this.tickMicros = tickMicros;
        log = new SimulatedLog(events, appendsPerSecond, random);
        for (int number = 1; number <= writers; number++) {
            companions.add(new Companion(number, LogWriterSettings.DEFAULT.withMinSendIntervalMicros(intervalMicros)));
        }
        events.runUntil(2 * MICROS_PER_SECOND);
    }

    private final class Companion {
        private final KeyClaims claims;

        private Companion(int number, LogWriterSettings settings) {
            LogWriter writer = new LogWriter(LogStream.CLAIMS, number, settings, new Random(number));
            InstanceName name = new InstanceName("companion-" + number);
            claims = new KeyClaims(number, name, ClaimSettings.DEFAULT, writer, new Random(number));
            claims.setKeyRetention(SERVICE, 86_400 * MICROS_PER_SECOND);
            claims.onRecords(List.of(), true, EventTime.certain(0), this::decided);
            log.subscribe(record -> {
                claims.onRecords(List.of(record), true, now(), this::decided);
                pump();
            });
            events.schedule(number * tickMicros / 100, this::tick);
        }

        private void tick() {
            if (log.down) {
                claims.onReadFailed();
            } else {
                claims.onRecords(List.of(), true, now(), this::decided);
            }
            claims.tick(now(), this::decided);
            pump();
            events.schedule(tickMicros, this::tick);
        }

        private void ask(KeyedCall call) {
            AttemptId attempt = new AttemptId(1, ++sequence, 1);
            askedMicros.put(attempt, events.now());
            asked++;
            KeyDecision decision = claims.admit(attempt, call, now(), 10 * MICROS_PER_SECOND);
            if (!(decision instanceof KeyDecision.Hold)) {
                decided(attempt, decision);
            }
            pump();
        }

        private EventTime now() {
            return EventTime.certain(events.now());
        }

        private void decided(AttemptId attempt, KeyDecision decision) {
            long waited = events.now() - askedMicros.remove(attempt);
            if (decision instanceof KeyDecision.Run) {
                claimMicros.add(waited);
                events.schedule(CALL_DURATION_MICROS, () -> {
                    claims.recordAnswer(attempt, 201, List.of(), new byte[40]);
                    pump();
                });
            } else if (decision instanceof KeyDecision.Replay) {
                replayed++;
            } else {
                refusalMicros.add(waited);
            }
        }

        private void pump() {
            claims.sendDue(
                    events.now(),
                    (stream, batch) -> log.append(batch, result -> {
                        claims.onAppendResult(batch.sequence(), result, events.now());
                        pump();
                    }));
        }
    }

    /** Generates calls with new keys at random times for a period. */
    void load(double callsPerSecond, long micros) {
        long end = events.now() + micros;
        arrive(callsPerSecond, end);
        events.runUntil(end);
    }

    private void arrive(double callsPerSecond, long end) {
        long gap = (long) (-Math.log(1 - random.nextDouble()) / callsPerSecond * MICROS_PER_SECOND);
        if (events.now() + gap >= end) {
            return;
        }
        events.schedule(gap, () -> {
            ask(asked);
            arrive(callsPerSecond, end);
        });
    }

    /** Sends the call of a numbered key to a random companion. */
    void ask(int key) {
        Digest digest = new Digest(key, 1, 2, 3);
        companions.get(random.nextInt(companions.size())).ask(new KeyedCall(digest, digest, SERVICE));
    }

    int ran() {
        return claimMicros.size();
    }

    int refused() {
        return refusalMicros.size();
    }

    double claimMillis(double quantile) {
        return millis(claimMicros, quantile);
    }

    double refusalMillis(double quantile) {
        return millis(refusalMicros, quantile);
    }

    private static double millis(List<Long> micros, double quantile) {
        long[] sorted = micros.stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sorted);
        return sorted.length == 0 ? 0 : sorted[(int) (quantile * (sorted.length - 1))] / 1e3;
    }
}
