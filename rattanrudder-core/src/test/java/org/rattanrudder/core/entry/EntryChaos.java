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
 * Drives an entry through a random interleaving of arrivals, answers, refusals, heartbeats, breaks, restarts, drains
 * and doubled, dropped and late frames, all from one seed, and keeps what the companions know to be true.
 */
final class EntryChaos {
    static final int COMPANIONS = 4;
    private static final int TURNS = 400;
    private static final ErrorKind[] REFUSALS = {
        ErrorKind.OVERLOADED, ErrorKind.DRAINING, ErrorKind.VERSION_CHANGED, ErrorKind.TARGET_UNREACHABLE
    };

    final EntryDriver driver;
    /** For each attempt that a companion refused: it never ran. */
    final Map<AttemptId, ErrorKind> notRun = new HashMap<>();
    /** What stood against each dispatch that the entry should not have made. */
    final List<String> wrongDispatches = new ArrayList<>();

    private final SplittableRandom random;
    private final long[] incarnations = new long[COMPANIONS + 1];
    private final boolean[] linked = new boolean[COMPANIONS + 1];
    private final boolean[] accepting = new boolean[COMPANIONS + 1];
    private final boolean[] leaving = new boolean[COMPANIONS + 1];
    private final long[] heartbeats = new long[COMPANIONS + 1];
    private final List<Frame.Dispatch> dispatches = new ArrayList<>();
    private final List<Integer> homes = new ArrayList<>();
    private int seenEffects;

    EntryChaos(long seed) {
        random = new SplittableRandom(seed);
        driver = new EntryDriver(seed + 1);
        ServiceDocument prompts = Documents.prompts(
                Documents.target(1), Documents.target(2), Documents.target(3), Documents.target(4, "depo-juh", true));
        driver.publish(prompts, 0);
        driver.publish(Documents.plain(Documents.target(1), Documents.target(2), Documents.target(3)), 0);
        for (int number = 1; number <= COMPANIONS; number++) {
            incarnations[number] = 100;
            open(number);
        }
    }

    EntryChaos run() {
        for (int turn = 0; turn < TURNS; turn++) {
            step();
            watch();
        }
        for (int second = 0; second < 40; second++) {
            driver.pass(500_000);
            watch();
        }
        return this;
    }

    private void step() {
        int number = 1 + random.nextInt(COMPANIONS);
        switch (random.nextInt(12)) {
            case 0, 1 -> driver.prompt("sheet-" + random.nextInt(5));
            case 2 -> driver.entryCall(random.nextBoolean() ? Optional.of("key") : Optional.empty());
            case 3, 4, 5, 6 -> answer();
            case 7, 8 -> beat(number);
            case 9 -> trouble(number);
            case 10 -> driver.pass(random.nextLong(300_000));
            default -> open(number);
        }
    }

    private void trouble(int number) {
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
            driver.open(number, incarnations[number]);
            accepting[number] = true;
            beat(number);
        }
    }

    private void close(int number) {
        linked[number] = false;
        heartbeats[number] = Long.MIN_VALUE / 2;
        driver.close(number);
    }

    private void leave(int number) {
        if (linked[number]) {
            leaving[number] = true;
            driver.frame(number, new Frame.Leaving());
        }
    }

    private void beat(int number) {
        if (linked[number]) {
            heartbeats[number] = driver.nowMicros();
            driver.heartbeat(number, incarnations[number], accepting[number]);
        }
    }

    /** A frame of any attempt so far, of the present or a former one, in or out of order. */
    private void answer() {
        if (dispatches.isEmpty()) {
            return;
        }
        int late = random.nextInt(Math.min(6, dispatches.size()));
        Frame.Dispatch dispatch = dispatches.get(dispatches.size() - 1 - late);
        int home = homes.get(dispatches.size() - 1 - late);
        if (!linked[home] || dispatch.companionIncarnation() != incarnations[home]) {
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
        driver.frame(home, frame);
    }

    private Frame refuse(AttemptId id) {
        ErrorKind kind = REFUSALS[random.nextInt(REFUSALS.length)];
        notRun.put(id, kind);
        return new Frame.NotRun(id, new Refusal(kind, 10, "not now"), 1_000);
    }

    private void watch() {
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
                homes.add(number);
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

    /** Returns all effects as text, to compare runs. */
    List<String> effects() {
        return driver.effects.stream()
                .map(effect -> effect instanceof EntryEffect.SendChunk chunk
                        ? chunk.sequence() + Digest.of(chunk.bytes()).toHex()
                        : effect.toString().replaceAll("\\[B@[0-9a-f]+", "bytes"))
                .toList();
    }
}
