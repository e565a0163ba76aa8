package org.rattanrudder.standins.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.companion.CompanionMachine;
import org.rattanrudder.core.companion.CompanionSettings;
import org.rattanrudder.core.document.CacheSettings;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.document.DocumentReader;
import org.rattanrudder.core.document.LimitSettings;
import org.rattanrudder.core.document.ModelSettings;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.document.ServiceKind;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.entry.CallerRequest;
import org.rattanrudder.core.entry.EntryEffect;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.entry.EntryMachine;
import org.rattanrudder.core.entry.EntrySettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.wire.frame.FrameCodec;

/** Measures the slopes behind docs/CAPACITY.md: messages, processor time and memory of an entry and a companion. */
public final class CapacityBench {
    private static final int TARGETS_EACH = 8;
    private static final int CHUNKS = 32;
    private static final int REQUESTS = 20_000;
    private static final String VERSION = "v1";
    private static final ServiceName SERVICE = new ServiceName("palivo-llm");
    private static final long SECOND = 1_000_000;
    private static final byte[] CHUNK = new byte[200];

    private CapacityBench() {}

    /** Runs every part and prints its table. */
    public static void main(String[] arguments) {
        heartbeatBytes();
        System.out.println();
        System.out.println("companions | targets | heartbeat us | tick us | request us | heap MB");
        for (int companions : new int[] {10, 100, 400, 1_250}) {
            entry(companions);
        }
        System.out.println();
        System.out.println("entries | tick us | heartbeat bytes/s | attempt us (" + CHUNKS + " chunks) | heap MB");
        for (int entries : new int[] {2, 10, 50, 200}) {
            companion(entries);
        }
    }

    private static void heartbeatBytes() {
        System.out.println("targets | revisions | bytes | encode us | decode us");
        for (int[] size : new int[][] {{1, 4}, {8, 4}, {8, 60}, {64, 60}}) {
            Frame heartbeat = heartbeat(0, size[0], size[1], 7);
            byte[] bytes = FrameCodec.encode(heartbeat);
            double encode = micros(REQUESTS, turn -> FrameCodec.encode(heartbeat));
            double decode = micros(REQUESTS, turn -> FrameCodec.decode(bytes));
            System.out.printf("%7d | %9d | %5d | %9.2f | %9.2f%n", size[0], size[1], bytes.length, encode, decode);
        }
    }

    private static void entry(int companions) {
        long before = heap();
        Clock clock = new Clock();
        List<EntryEffect> effects = new ArrayList<>();
        EntryMachine machine = new EntryMachine(
                new EntrySettings(new InstanceName("entry-1"), 9, "domain-1", "1"),
                reader(companions),
                new SplittableRandom(1));
        machine.handle(new EntryEvent.LogRead(LogStream.CONFIGURATION, records(), true), clock.now, effects::add);
        for (int companion = 0; companion < companions; companion++) {
            Frame.Hello hello = new Frame.Hello(new InstanceName("companion-" + companion), 7, "domain-1", "1");
            machine.handle(new EntryEvent.LinkOpened(address(companion), hello), clock.now, effects::add);
        }
        double beat = micros(
                companions * 20,
                turn -> machine.handle(
                        new EntryEvent.FrameArrived(
                                address(turn % companions), heartbeat(turn % companions, TARGETS_EACH, 4, turn)),
                        clock.advance(1),
                        effect -> {}));
        for (int companion = 0; companion < companions; companion++) {
            machine.handle(
                    new EntryEvent.FrameArrived(address(companion), heartbeat(companion, TARGETS_EACH, 4, 900_000)),
                    clock.now,
                    effect -> {});
        }
        // Short steps, so that no link counts as silent meanwhile.
        double tick = micros(1_000, turn -> machine.handle(new EntryEvent.Tick(), clock.advance(1), effect -> {}));
        SplittableRandom random = new SplittableRandom(3);
        double request = micros(REQUESTS, turn -> serve(machine, turn + 1, companions, random, clock));
        effects.clear();
        System.out.printf(
                "%10d | %7d | %12.2f | %7.1f | %10.1f | %7.1f%n",
                companions, companions * TARGETS_EACH, beat, tick, request, (heap() - before) / 1e6);
        keep(machine);
    }

    private static void serve(
            EntryMachine machine, long sequence, int companions, SplittableRandom random, Clock clock) {
        if (sequence % 1_000 == 1) {
            for (int companion = 0; companion < companions; companion++) {
                Frame beat = heartbeat(companion, TARGETS_EACH, 4, sequence);
                machine.handle(new EntryEvent.FrameArrived(address(companion), beat), clock.now, effect -> {});
            }
        }
        List<EntryEffect> effects = new ArrayList<>();
        Digest context = Digest.of("context", Integer.toString(random.nextInt(10_000)));
        CallerRequest request = new CallerRequest(
                SERVICE.value(),
                Optional.of(Digest.of("credential")),
                Optional.empty(),
                Optional.empty(),
                new Call("POST", "/v1/chat/completions", List.of(), CHUNK),
                new PromptShape(2_100, List.of(context)));
        machine.handle(new EntryEvent.RequestArrived(sequence, request), clock.advance(1), effects::add);
        EntryEffect.SendFrame sent = (EntryEffect.SendFrame) effects.stream()
                .filter(effect -> effect instanceof EntryEffect.SendFrame)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("refused: " + effects));
        AttemptId attempt = ((Frame.Dispatch) sent.frame()).attempt();
        Address from = sent.companion();
        take(machine, from, new Frame.Accepted(attempt), clock);
        take(machine, from, new Frame.AnswerHead(attempt, 200, List.of()), clock);
        for (int chunk = 0; chunk < CHUNKS; chunk++) {
            take(machine, from, new Frame.AnswerChunk(attempt, chunk, CHUNK), clock);
            machine.handle(new EntryEvent.ChunksWritten(sequence, 1), clock.now, effect -> {});
        }
        take(machine, from, new Frame.AnswerEnd(attempt, CHUNKS, Usage.NONE), clock);
    }

    private static void take(EntryMachine machine, Address from, Frame frame, Clock clock) {
        machine.handle(new EntryEvent.FrameArrived(from, frame), clock.now, effect -> {});
    }

    private static void companion(int entries) {
        long before = heap();
        Clock clock = new Clock();
        CompanionMachine machine = new CompanionMachine(
                new CompanionSettings(new InstanceName("companion-0"), 7, address(0), "domain-1", "1"),
                reader(1),
                new SplittableRandom(1));
        machine.handle(new CompanionEvent.LogRead(LogStream.CONFIGURATION, records(), true), clock.now, effect -> {});
        for (int entry = 0; entry < entries; entry++) {
            Frame.Hello hello = new Frame.Hello(new InstanceName("entry-" + entry), 100 + entry, "domain-1", "1");
            machine.handle(new CompanionEvent.LinkOpened(entry, hello), clock.now, effect -> {});
        }
        List<byte[]> sent = new ArrayList<>();
        long began = clock.now;
        double tick = micros(1_000, turn -> {
            for (int entry = 0; entry < entries; entry++) {
                Frame beat = new Frame.Heartbeat(100 + entry, turn, List.of(), List.of(), 0);
                if (turn % 20 == 0) {
                    machine.handle(new CompanionEvent.FrameArrived(entry, beat), clock.now, effect -> {});
                }
            }
            report(machine, clock);
            machine.handle(new CompanionEvent.Tick(), clock.advance(50), effect -> {
                if (effect instanceof CompanionEffect.SendFrame frame) {
                    sent.add(FrameCodec.encode(frame.frame()));
                }
            });
        });
        long bytes = sent.stream().mapToLong(each -> each.length).sum();
        double seconds = (clock.now - began) / (double) SECOND;
        sent.clear();
        double attempt = micros(REQUESTS, turn -> run(machine, turn + 1, clock));
        System.out.printf(
                "%7d | %7.1f | %17.0f | %10.1f | %7.1f%n",
                entries, tick, bytes / seconds, attempt, (heap() - before) / 1e6);
        keep(machine);
    }

    private static void report(CompanionMachine machine, Clock clock) {
        for (int target = 0; target < TARGETS_EACH; target++) {
            CompanionEvent.TargetLoad load = new CompanionEvent.TargetLoad(0, 0, VERSION, 0);
            machine.handle(new CompanionEvent.LoadReported(target(0, target), load), clock.now, effect -> {});
        }
    }

    private static void run(CompanionMachine machine, long sequence, Clock clock) {
        if (sequence % 500 == 1) {
            report(machine, clock);
            machine.handle(
                    new CompanionEvent.FrameArrived(0, new Frame.Heartbeat(100, sequence, List.of(), List.of(), 0)),
                    clock.now,
                    effect -> {});
        }
        AttemptId attempt = new AttemptId(100, sequence, 1);
        Frame.Dispatch dispatch = new Frame.Dispatch(
                attempt,
                7,
                target(0, (int) (sequence % TARGETS_EACH)),
                SERVICE,
                new CustomerName("depot"),
                "check",
                0,
                2 * SECOND,
                VERSION,
                Optional.empty(),
                true,
                new Call("POST", "/v1/chat/completions", List.of(), CHUNK),
                new PromptShape(2_100, List.of(Digest.of("context", Long.toString(sequence % 10_000)))));
        List<CompanionEffect> effects = new ArrayList<>();
        machine.handle(new CompanionEvent.FrameArrived(0, dispatch), clock.advance(1), effects::add);
        if (effects.stream().noneMatch(effect -> effect instanceof CompanionEffect.StartPrompt)) {
            throw new IllegalStateException("not started: " + effects);
        }
        machine.handle(new CompanionEvent.TargetAnswerStarted(attempt, 200, List.of()), clock.now, effect -> {});
        for (int chunk = 0; chunk < CHUNKS; chunk++) {
            machine.handle(new CompanionEvent.TargetChunk(attempt, CHUNK, VERSION), clock.now, effect -> {});
            machine.handle(new CompanionEvent.FrameArrived(0, new Frame.Credit(attempt, 1)), clock.now, effect -> {});
        }
        machine.handle(new CompanionEvent.TargetAnswerEnded(attempt, Usage.NONE), clock.now, effect -> {});
    }

    private static DocumentReader reader(int companions) {
        List<TargetSettings> targets = new ArrayList<>();
        for (int companion = 0; companion < companions; companion++) {
            for (int target = 0; target < TARGETS_EACH; target++) {
                targets.add(new TargetSettings(
                        target(companion, target),
                        new Address("10.1." + companion / 250 + "." + (companion % 250 + 1), 9_000 + target),
                        address(companion),
                        "domain-" + companion % 20,
                        false,
                        false,
                        100_000_000,
                        64));
            }
        }
        ServiceDocument document = new ServiceDocument(
                SERVICE,
                ServiceKind.PROMPT,
                Optional.of(new ModelSettings("fuel", VERSION, List.of())),
                targets,
                List.of(),
                List.of(new CustomerSettings(
                        new CustomerName("depot"), List.of(Digest.of("credential")), 1, 0, Set.of())),
                List.of(new RequestClass("check", 0, 2_000, 400, 0.99)),
                List.of(),
                new CacheSettings(CacheSettings.Favour.FIRST_TOKEN, 2_000, 64, 10_000),
                new LimitSettings(4_000_000, 256, 10_000, 86_400, 0.1));
        return text -> new DocumentReader.Valid(document);
    }

    private static List<LogRecord> records() {
        LogEntry edit = new LogEntry.DocumentEdit(SERVICE, 0, "{}");
        return List.of(new LogRecord(1, new LogBatch(5, 1, List.of(edit))));
    }

    private static Frame.Heartbeat heartbeat(int companion, int targets, int revisions, long sequence) {
        List<Frame.TargetState> states = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            states.add(
                    new Frame.TargetState(target(companion, target), true, 12, 0, 35_000, VERSION, 12_000, 90_000_000));
        }
        List<Frame.ServiceRevision> inForce = new ArrayList<>();
        for (int service = 0; service < revisions; service++) {
            ServiceName name = service == 0 ? SERVICE : new ServiceName("service-" + service);
            inForce.add(new Frame.ServiceRevision(name, service == 0 ? 1 : 1_000_000 + service));
        }
        return new Frame.Heartbeat(7, sequence, states, inForce, 2);
    }

    private static Address address(int companion) {
        return new Address("10.1." + companion / 250 + "." + (companion % 250 + 1), 9_100);
    }

    private static TargetName target(int companion, int target) {
        return new TargetName("server-" + companion + "-" + target);
    }

    private static double micros(int turns, IntConsumer step) {
        long began = 0;
        for (int turn = -turns / 2; turn < turns; turn++) {
            if (turn == 0) {
                began = System.nanoTime();
            }
            step.accept(turn + turns / 2);
        }
        return (System.nanoTime() - began) / 1e3 / turns;
    }

    private static long heap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void keep(Object machine) {
        if (machine.hashCode() == Integer.MIN_VALUE) {
            System.out.println(machine);
        }
    }

    /** Time that the bench sets itself, in microseconds. */
    private static final class Clock {
        private long now = SECOND;

        private long advance(long millis) {
            now += millis * 1_000;
            return now;
        }
    }
}
