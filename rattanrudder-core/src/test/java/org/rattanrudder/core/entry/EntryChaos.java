package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.TargetName;

/**
 * Drives an entry with a random, seeded sequence of requests, answers, refusals, heartbeats, lost links, restarts,
 * drains and duplicated, dropped and late frames, and records what the companions did.
 */
final class EntryChaos {
    static final int COMPANIONS = 4;
    private static final int STEPS = 400;
    private static final ErrorKind[] REFUSALS = {
        ErrorKind.OVERLOADED, ErrorKind.DRAINING, ErrorKind.VERSION_CHANGED, ErrorKind.TARGET_UNREACHABLE
    };

    final EntryDriver driver;
    /** Attempts that a companion refused and that therefore never ran, with the kind of refusal. */
    final Map<AttemptId, ErrorKind> notRun = new HashMap<>();
    /** Dispatches that the entry should not have made. */
    final List<String> wrongDispatches = new ArrayList<>();

    private final SplittableRandom random;
    private final long[] incarnations = new long[COMPANIONS + 1];
    private final boolean[] linked = new boolean[COMPANIONS + 1];
    private final boolean[] accepting = new boolean[COMPANIONS + 1];
    private final boolean[] leaving = new boolean[COMPANIONS + 1];
    private final long[] heartbeats = new long[COMPANIONS + 1];
    private final List<Frame.Dispatch> dispatches = new ArrayList<>();
    private final List<Integer> companions = new ArrayList<>();
    private int seenEffects;

    EntryChaos(long seed) {
        random = new SplittableRandom(seed);
        driver = new EntryDriver(seed + 1);
        ServiceDocument prompts = TestDocuments.prompts(
                TestDocuments.target(1),
                TestDocuments.target(2),
                TestDocuments.target(3),
                TestDocuments.target(4, "depo-juh", true));
        driver.publish(prompts, 0);
        driver.publish(
                TestDocuments.plain(TestDocuments.target(1), TestDocuments.target(2), TestDocuments.target(3)), 0);
        for (int number = 1; number <= COMPANIONS; number++) {
            incarnations[number] = 100;
            open(number);
        }
    }

    EntryChaos run() {
        for (int turn = 0; turn < STEPS; turn++) {
            step();
            checkNewEffects();
        }
        for (int second = 0; second < 40; second++) {
            driver.advance(500_000);
            checkNewEffects();
        }
        return this;
    }

    private void step() {
        int number = 1 + random.nextInt(COMPANIONS);
        switch (random.nextInt(12)) {
            case 0, 1 -> driver.prompt("sheet-" + random.nextInt(5));
            case 2 -> driver.atMostOnceCall(random.nextBoolean() ? Optional.of("key") : Optional.empty());
            case 3, 4, 5, 6 -> answer();
            case 7, 8 -> sendHeartbeat(number);
            case 9 -> injectFault(number);
            case 10 -> driver.advance(random.nextLong(300_000));
            default -> open(number);
        }
    }

    private void injectFault(int number) {
        switch (random.nextInt(5)) {
            case 0 -> close(number);
            case 1 -> {
                close(number);
                incarnations[number]++;
                leaving[number] = false;
            }
            case 2 -> leave(number);
            case 3 -> accepting[number] = !accepting[number];
            default -> driver.handle(new EntryEvent.CallerDisconnected(1 + random.nextInt(40)));
        }
    }

    private void open(int number) {
        if (!linked[number]) {
            linked[number] = true;
            driver.openLink(number, incarnations[number]);
            accepting[number] = true;
            sendHeartbeat(number);
        }
    }

    private void close(int number) {
        linked[number] = false;
        heartbeats[number] = Long.MIN_VALUE / 2;
        driver.closeLink(number);
    }

    private void leave(int number) {
        if (linked[number]) {
            leaving[number] = true;
            driver.frame(number, new Frame.Leaving());
        }
    }

    private void sendHeartbeat(int number) {
        if (linked[number]) {
            heartbeats[number] = driver.nowMicros();
            driver.heartbeat(number, incarnations[number], accepting[number]);
        }
    }

    /** Sends a random frame of one of the last attempts, current or not, in or out of order. */
    private void answer() {
        if (dispatches.isEmpty()) {
            return;
        }
        int late = random.nextInt(Math.min(6, dispatches.size()));
        Frame.Dispatch dispatch = dispatches.get(dispatches.size() - 1 - late);
        int companion = companions.get(dispatches.size() - 1 - late);
        if (!linked[companion] || dispatch.companionIncarnation() != incarnations[companion]) {
            return;
        }
        AttemptId id = dispatch.attempt();
        Frame frame = switch (random.nextInt(8)) {
            case 0 -> new Frame.Accepted(id);
            case 1, 2 -> new Frame.AnswerHead(id, 200, List.of());
            case 3, 4 ->
                new Frame.AnswerChunk(id, random.nextInt(3), new byte[] {(byte) id.sequence(), (byte) id.attempt()});
            case 5 -> new Frame.AnswerEnd(id, random.nextInt(3), Usage.NONE);
            case 6 -> new Frame.AnswerFailed(id, new Refusal(ErrorKind.TARGET_FAILED, 0, "broke off"));
            default -> refuse(id);
        };
        driver.frame(companion, frame);
    }

    private Frame refuse(AttemptId id) {
        ErrorKind kind = REFUSALS[random.nextInt(REFUSALS.length)];
        notRun.put(id, kind);
        return new Frame.NotRun(id, new Refusal(kind, 10, "not now"), 1_000);
    }

    private void checkNewEffects() {
        while (seenEffects < driver.effects.size()) {
            EntryEffect effect = driver.effects.get(seenEffects++);
            if (effect instanceof EntryEffect.CloseLink closed) {
                int number = number(closed.companion().host());
                linked[number] = false;
                heartbeats[number] = Long.MIN_VALUE / 2;
            }
            if (effect instanceof EntryEffect.SendFrame sent && sent.frame() instanceof Frame.Dispatch dispatch) {
                int number = number(sent.companion().host());
                dispatches.add(dispatch);
                companions.add(number);
                check(dispatch, number);
            }
        }
    }

    private void check(Frame.Dispatch dispatch, int number) {
        boolean known = dispatch.target().equals(new TargetName("target-" + number));
        boolean fresh = driver.nowMicros() - heartbeats[number] < 2_000_000;
        boolean drained = number == COMPANIONS;
        if (!known || !fresh || drained || leaving[number] || dispatch.companionIncarnation() != incarnations[number]) {
            wrongDispatches.add(dispatch.attempt() + " to " + number);
        }
    }

    private static int number(String host) {
        return Integer.parseInt(host.substring(host.lastIndexOf('.') + 1));
    }

    /** Returns all effects as text, for comparing runs. */
    List<String> effects() {
        return driver.effects.stream()
                .map(effect -> effect instanceof EntryEffect.SendChunk chunk
                        ? chunk.sequence() + Digest.of(chunk.bytes()).toHex()
                        : effect.toString().replaceAll("\\[B@[0-9a-f]+", "bytes"))
                .toList();
    }
}
