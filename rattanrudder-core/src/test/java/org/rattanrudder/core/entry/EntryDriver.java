package org.rattanrudder.core.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.PromptShape;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.document.ServiceDocument;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.log.LogBatch;
import org.rattanrudder.core.log.LogEntry;
import org.rattanrudder.core.log.LogRecord;
import org.rattanrudder.core.log.LogStream;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.InstanceName;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.core.model.TargetName;
import org.rattanrudder.core.time.EventTime;

/** Drives an entry's state machine in tests: sets the time, sends events and records the effects. */
final class EntryDriver {
    static final long INCARNATION = 77;

    final TestDocuments documents = new TestDocuments();
    final List<EntryEffect> effects = new ArrayList<>();
    private final EntryMachine machine;
    private long nowMicros = 1_000_000;
    private long doubtfulMicros;
    private long sequence;
    private long offset;

    EntryDriver() {
        this(1);
    }

    EntryDriver(long seed) {
        EntrySettings settings = new EntrySettings(
                new InstanceName("entry-1"), INCARNATION, "depo-sever", "0.1", List.of(TestDocuments.companion(1)));
        machine = new EntryMachine(settings, documents, new SplittableRandom(seed));
    }

    /** Returns a driver whose companions are linked, have reported and are idle. */
    static EntryDriver ready(ServiceDocument document) {
        EntryDriver driver = new EntryDriver();
        driver.publish(document, 0);
        document.targets().forEach(target -> driver.connectCompanion(number(target.companion()), 100));
        return driver;
    }

    private static int number(Address companion) {
        return Integer.parseInt(companion.host().substring(companion.host().lastIndexOf('.') + 1));
    }

    void handle(EntryEvent event) {
        machine.handle(event, new EventTime(nowMicros, nowMicros + doubtfulMicros), effects::add);
    }

    boolean isReady() {
        return machine.isReady();
    }

    long publish(ServiceDocument document, long baseRevision) {
        offset++;
        LogEntry edit = new LogEntry.DocumentEdit(document.service(), baseRevision, documents.textOf(document));
        LogRecord record = new LogRecord(offset, new LogBatch(5, offset, List.of(edit)));
        handle(new EntryEvent.LogRead(LogStream.CONFIGURATION, List.of(record), true));
        return offset;
    }

    /** Opens a companion's link with its hello and its first heartbeat. */
    void connectCompanion(int number, long incarnation) {
        openLink(number, incarnation);
        heartbeat(number, incarnation, true);
    }

    void openLink(int number, long incarnation) {
        InstanceName name = new InstanceName("companion-" + number);
        handle(new EntryEvent.LinkOpened(
                TestDocuments.companion(number), new Frame.Hello(name, incarnation, "depo-sever", "0.1")));
    }

    void closeLink(int number) {
        handle(new EntryEvent.LinkClosed(TestDocuments.companion(number)));
    }

    void heartbeat(int number, long incarnation, boolean accepting) {
        heartbeat(number, incarnation, accepting, 0, 1);
    }

    void heartbeat(int number, long incarnation, boolean accepting, long waitMicros, int entries) {
        Frame.TargetState state =
                new Frame.TargetState(new TargetName("target-" + number), accepting, 0, 0, waitMicros, "v1", 10_000, 0);
        frame(number, new Frame.Heartbeat(incarnation, 1, List.of(state), List.of(), entries));
    }

    /** Sends a heartbeat of a companion whose engine serves the weight version. */
    void heartbeat(int number, long incarnation, String weightVersion) {
        Frame.TargetState state =
                new Frame.TargetState(new TargetName("target-" + number), true, 0, 0, 0, weightVersion, 10_000, 0);
        frame(number, new Frame.Heartbeat(incarnation, 1, List.of(state), List.of(), 1));
    }

    void frame(int number, Frame frame) {
        handle(new EntryEvent.FrameArrived(TestDocuments.companion(number), frame));
    }

    void advance(long micros) {
        nowMicros += micros;
        handle(new EntryEvent.Tick());
    }

    /** Advances the longest time that may have passed alone. */
    void suspendInDoubt(long micros) {
        doubtfulMicros += micros;
        handle(new EntryEvent.Tick());
    }

    long nowMicros() {
        return nowMicros;
    }

    /** Sends a prompt and returns its sequence number. */
    long prompt(String context) {
        PromptShape shape = new PromptShape(2_100, List.of(Digest.of(context)));
        return sendRequest("palivo-llm", "POST", "/v1/chat/completions", "audit", shape, Optional.empty());
    }

    /** Sends a prompt of several pieces that is like no other and returns its sequence number. */
    long promptOf(String... pieces) {
        PromptShape shape =
                new PromptShape(2_100, Stream.of(pieces).map(Digest::of).toList());
        byte[] body = ("prompt " + sequence).getBytes(StandardCharsets.UTF_8);
        return sendRequest("palivo-llm", "POST", "/v1/chat/completions", "audit", shape, Optional.empty(), body);
    }

    /** Sends a call that may run at most once and returns its sequence number. */
    long atMostOnceCall(Optional<String> key) {
        return sendRequest("fuel-ledger", "POST", "/entries", "check", PromptShape.NONE, key);
    }

    long sendRequest(String service, String method, String path, String name, PromptShape shape, Optional<String> key) {
        return sendRequest(service, method, path, name, shape, key, new byte[10]);
    }

    private long sendRequest(
            String service,
            String method,
            String path,
            String name,
            PromptShape shape,
            Optional<String> key,
            byte[] body) {
        sequence++;
        Call call = new Call(method, path, List.of(), body);
        CallerRequest request =
                new CallerRequest(service, Optional.of(TestDocuments.CREDENTIAL), Optional.of(name), key, call, shape);
        handle(new EntryEvent.RequestArrived(sequence, request));
        return sequence;
    }

    /** Returns all dispatches so far. */
    List<Frame.Dispatch> dispatches() {
        return frames(Frame.Dispatch.class);
    }

    /** Returns the last dispatch. */
    Frame.Dispatch lastDispatch() {
        return dispatches().get(dispatches().size() - 1);
    }

    /** Returns the number of the last dispatch's companion. */
    int lastCompanion() {
        String name = lastDispatch().target().value();
        return Integer.parseInt(name.substring("target-".length()));
    }

    <F extends Frame> List<F> frames(Class<F> type) {
        return effects.stream()
                .filter(EntryEffect.SendFrame.class::isInstance)
                .map(effect -> ((EntryEffect.SendFrame) effect).frame())
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    <E extends EntryEffect> List<E> effectsOf(Class<E> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns the kind of the request's final error. */
    ErrorKind refusal(long request) {
        return refusalOf(request).kind();
    }

    Refusal refusalOf(long request) {
        return effectsOf(EntryEffect.Refuse.class).stream()
                .filter(refuse -> refuse.sequence() == request)
                .findFirst()
                .orElseThrow(() -> new AssertionError("request " + request + " has no final error"))
                .refusal();
    }

    void head(Frame.Dispatch dispatch) {
        frame(lastCompanion(), new Frame.AnswerHead(dispatch.attempt(), 200, List.of()));
    }

    void chunk(Frame.Dispatch dispatch, long number) {
        frame(lastCompanion(), new Frame.AnswerChunk(dispatch.attempt(), number, new byte[] {(byte) number}));
    }

    void end(Frame.Dispatch dispatch, long chunks) {
        frame(lastCompanion(), new Frame.AnswerEnd(dispatch.attempt(), chunks, Usage.NONE));
    }

    void notRun(Frame.Dispatch dispatch, ErrorKind kind) {
        frame(lastCompanion(), new Frame.NotRun(dispatch.attempt(), new Refusal(kind, 100, "busy"), 50_000));
    }

    /** Returns the first byte of each chunk that was sent to the caller, in order. */
    List<Integer> deliveredChunks(long request) {
        return effectsOf(EntryEffect.SendChunk.class).stream()
                .filter(chunk -> chunk.sequence() == request)
                .map(chunk -> (int) chunk.bytes()[0])
                .toList();
    }
}
