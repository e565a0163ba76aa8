package org.rattanrudder.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.rattanrudder.core.log.AppendResult;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.time.EventTime;

/** Simulates three companions on one faulty log, and records all runs and decisions. */
final class ClaimSimulation {
    static final ServiceName SERVICE = new ServiceName("fuel-ledger");
    static final long MICROS_PER_SECOND = 1_000_000;
    static final long KEY_RETENTION_MICROS = 20 * MICROS_PER_SECOND;
    static final long LOG_RETENTION_MICROS = 60 * MICROS_PER_SECOND;
    static final ClaimSettings SETTINGS = new ClaimSettings(
            MICROS_PER_SECOND, 5 * MICROS_PER_SECOND, 64, 1_000_000, 64, LOG_RETENTION_MICROS + 10 * MICROS_PER_SECOND);

    final FaultyLog log = new FaultyLog(LOG_RETENTION_MICROS);
    final List<SimulatedCompanion> companions = new ArrayList<>();
    final Map<AttemptId, KeyDecision> decisions = new HashMap<>();
    final Map<Digest, List<Run>> runs = new HashMap<>();
    long nowMicros = MICROS_PER_SECOND;
    boolean anyLost;

    private final Random random;
    private final Map<AttemptId, KeyedCall> calls = new HashMap<>();
    private final Set<AttemptId> ran = new HashSet<>();
    private long incarnations = 100;
    private int attempts;

    ClaimSimulation(long seed) {
        random = new Random(seed);
        for (int number = 0; number < 3; number++) {
            companions.add(start("companion-" + number));
        }
        settle();
    }

    /** One run of a key's call and its answer. */
    record Run(AttemptId attempt, long atMicros, String answer) {}

    static KeyedCall call(int key, int request) {
        return new KeyedCall(Digest.of("key", "" + key), Digest.of("request", "" + request), SERVICE);
    }

    SimulatedCompanion start(String name) {
        return new SimulatedCompanion(name, ++incarnations, log, new Random(incarnations), this::onDecision);
    }

    /** Sends a call to a companion; the decision appears in {@link #decisions}, at once or later. */
    AttemptId ask(SimulatedCompanion companion, KeyedCall call) {
        AttemptId attempt = new AttemptId(1, ++attempts, 1);
        calls.put(attempt, call);
        KeyDecision decision =
                companion.claims.admit(attempt, call, EventTime.certain(nowMicros), 10 * MICROS_PER_SECOND);
        if (!(decision instanceof KeyDecision.Hold)) {
            onDecision(attempt, decision);
        }
        if (decision instanceof KeyDecision.Replay replay) {
            checkReplay(companion, call, replay.answer());
        }
        companion.sendDue(nowMicros);
        return attempt;
    }

    void crash(int number) {
        anyLost = true;
        companions.set(number, start(companions.get(number).name));
    }

    /** Ends the oldest run of a companion as answered, not run or unknown. */
    void end(SimulatedCompanion companion, String how) {
        AttemptId attempt = companion.running.remove(0);
        List<Run> ofKey = runs.get(calls.get(attempt).key());
        Run run = ofKey.stream()
                .filter(each -> each.attempt().equals(attempt))
                .findFirst()
                .orElseThrow();
        switch (how) {
            case "answered" -> companion.claims.recordAnswer(attempt, 201, List.of(), bytes(run.answer()));
            case "not run" -> {
                ofKey.remove(run);
                companion.claims.recordNotRun(attempt);
            }
            default -> companion.claims.recordUnresolved(attempt);
        }
        companion.sendDue(nowMicros);
    }

    /** Performs one random step. */
    void step() {
        nowMicros += random.nextInt(25) == 0 ? random.nextInt(30) * MICROS_PER_SECOND : random.nextInt(60_000);
        int number = random.nextInt(companions.size());
        SimulatedCompanion companion = companions.get(number);
        int choice = random.nextInt(100);
        if (choice < 6) {
            companion.paused = !companion.paused;
        } else if (choice < 8) {
            crash(number);
        } else if (choice < 10) {
            log.down = !log.down;
        } else if (choice < 35) {
            deliverOne();
        } else if (!companion.paused) {
            act(companion, choice);
        }
    }

    private void act(SimulatedCompanion companion, int choice) {
        if (choice < 50) {
            ask(companion, call(random.nextInt(3), random.nextInt(10) == 0 ? 1 : 0));
        } else if (choice < 60 && !companion.running.isEmpty()) {
            end(companion, List.of("answered", "answered", "not run", "unknown").get(random.nextInt(4)));
        } else if (choice < 72 && !companion.unansweredAppends.isEmpty()) {
            completeOneAppend(companion);
        } else if (choice < 88) {
            companion.read(1 + random.nextInt(3), nowMicros);
        } else {
            companion.tick(nowMicros);
        }
    }

    private void deliverOne() {
        if (log.inFlight() > 0 && !log.down) {
            log.deliver(random.nextInt(log.inFlight()), nowMicros);
        }
    }

    private void completeOneAppend(SimulatedCompanion companion) {
        LogBatch batch = companion.unansweredAppends.peek();
        boolean inFlight = log.isInFlight(batch);
        if (inFlight && random.nextInt(3) == 0) {
            log.refuse(batch);
            companion.completeOldestAppend(new AppendResult.Refused(), nowMicros);
        } else if (!log.contains(batch) || random.nextInt(3) == 0) {
            companion.completeOldestAppend(new AppendResult.Unknown(), nowMicros);
        } else {
            companion.completeOldestAppend(new AppendResult.Appended(1), nowMicros);
        }
    }

    /** Ends all faults, delivers all appends and ends every run with an answer. */
    void settle() {
        log.down = false;
        for (SimulatedCompanion companion : companions) {
            companion.paused = false;
        }
        for (int round = 0; round < 40; round++) {
            nowMicros += 100_000;
            while (log.inFlight() > 0) {
                log.deliver(0, nowMicros);
            }
            for (SimulatedCompanion companion : companions) {
                while (!companion.unansweredAppends.isEmpty()) {
                    boolean delivered = log.contains(companion.unansweredAppends.peek());
                    companion.completeOldestAppend(
                            delivered ? new AppendResult.Appended(1) : new AppendResult.Unknown(), nowMicros);
                }
                companion.read(1_000, nowMicros);
                while (!companion.running.isEmpty()) {
                    end(companion, "answered");
                }
                companion.tick(nowMicros);
            }
        }
    }

    private void onDecision(AttemptId attempt, KeyDecision decision) {
        assertThat(decisions.put(attempt, decision))
                .as("a second decision on one attempt")
                .isNull();
        if (!(decision instanceof KeyDecision.Run)) {
            return;
        }
        SimulatedCompanion companion = companions.stream()
                .filter(each -> each.claims.isRunning(attempt))
                .findFirst()
                .orElseThrow();
        companion.running.add(attempt);
        KeyedCall call = calls.get(attempt);
        List<Run> ofKey = runs.computeIfAbsent(call.key(), key -> new ArrayList<>());
        assertThat(ran.add(attempt)).isTrue();
        if (!ofKey.isEmpty()) {
            assertThat(nowMicros - ofKey.get(ofKey.size() - 1).atMicros())
                    .as("time since the key's last run")
                    .isGreaterThanOrEqualTo(KEY_RETENTION_MICROS);
        }
        ofKey.add(new Run(attempt, nowMicros, "answer of " + attempt));
    }

    private void checkReplay(SimulatedCompanion companion, KeyedCall call, RecordedAnswer answer) {
        List<Run> ofKey = runs.get(call.key());
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        assertThat(ofKey).extracting(Run::answer).contains(text);
        if (companion.isCaughtUp()) {
            assertThat(text).isEqualTo(ofKey.get(ofKey.size() - 1).answer());
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
