package org.rattanrudder.wire.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.continuation.OriginMessage;
import org.rattanrudder.core.continuation.StreamKey;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;
import org.rattanrudder.core.fleet.LoadReport.LeavingTarget;
import org.rattanrudder.core.fleet.LoadReport.ReadPositions;
import org.rattanrudder.core.fleet.LoadReport.RemovedTarget;
import org.rattanrudder.core.fleet.LoadReport.SeenRateLimit;
import org.rattanrudder.core.fleet.LoadReport.ServedWeights;
import org.rattanrudder.core.fleet.LoadReport.TargetLoad;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartEvent;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.RetirementReport;
import org.rattanrudder.core.parts.SharedStoreUpdate;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.core.parts.StoreUpdate;
import org.rattanrudder.core.rollout.VersionQuestion;
import org.rattanrudder.core.topics.LogPosition;

class PeerCodecTest {
    @Property
    void whatIsWrittenIsReadBack(
            @ForAll @LongRange(min = 0) long sequence,
            @ForAll @IntRange(max = 9_000) int requests,
            @ForAll @LongRange(min = 0, max = 1_000_000_000L) long tokens) {
        LoadReport load = load(sequence, requests, tokens);

        assertThat(PeerCodec.read(PeerCodec.write(load))).contains(new PeerCodec.Message.Load(load));
    }

    private static LoadReport load(long sequence, int requests, long tokens) {
        return new LoadReport(
                "relay-1",
                sequence,
                sequence % 3 == 0,
                List.of(new TargetLoad("i-1", requests, tokens, tokens / 2), new TargetLoad("i-2", 1, 2, 3)),
                List.of(new KnownWeights("m", 7, tokens)),
                List.of(new ServedWeights("i-1", tokens, "m", 7)),
                List.of("i-2"),
                List.of("i-3", "i-4"),
                sequence % 2 == 0,
                new ReadPositions(
                        new LogPosition(sequence, sequence / 3),
                        new LogPosition(sequence, sequence / 2),
                        new LogPosition(sequence, sequence / 4),
                        new LogPosition(sequence, sequence / 5)),
                List.of(
                        new StoreLateness(new Address("10.0.0.1", 80), requests, requests),
                        new StoreLateness(new Address("10.0.0.2", 80), 1, 0)),
                List.of(
                        new SeenRateLimit("i-1", OptionalDouble.of(requests / 7.0), tokens, tokens / 2),
                        new SeenRateLimit("i-2", OptionalDouble.empty(), requests, 0)),
                List.of(new LeavingTarget("i-5", tokens), new LeavingTarget("i-6", 0)),
                List.of(new RemovedTarget("i-7", new LogPosition(sequence, tokens))),
                new RetirementReport(tokens, sequence % 2 == 0, -sequence),
                VersionQuestion.NONE,
                requests);
    }

    @Property
    void beginningsOfStreamsAreReadBack(
            @ForAll long first, @ForAll long second, @ForAll @LongRange(min = 0, max = 600_000) long keepMillis) {
        StreamKey key = new StreamKey(first, second);
        Optional<StreamOrigin> origin = Optional.of(new StreamOrigin("llm", "v1.2"));
        OriginMessage message = new OriginMessage(
                List.of(
                        new OriginMessage.Told(key, origin, keepMillis),
                        new OriginMessage.Told(new StreamKey(second, first), Optional.empty(), 0)),
                List.of(key, new StreamKey(0, 0)),
                List.of(key));

        assertThat(PeerCodec.read(PeerCodec.write(message))).contains(new PeerCodec.Message.Origins(message));
    }

    @Property
    void newsOfStoresIsReadBack(
            @ForAll long incarnation, @ForAll @LongRange(min = 0) long next, @ForAll boolean clockKnown) {
        StoreUpdate news = new StoreUpdate(
                incarnation,
                next,
                false,
                List.of(
                        new PartEvent(new PartKey("w1", "5c1e07a2"), 800, true),
                        new PartEvent(new PartKey("w1", "x"), 0, false)),
                clockKnown ? OptionalLong.of(-next) : OptionalLong.empty());
        SharedStoreUpdate shared = new SharedStoreUpdate(new Address("10.0.0.1", 80), next / 2, news, next / 3);

        assertThat(PeerCodec.read(PeerCodec.write(shared))).contains(new PeerCodec.Message.News(shared));
    }

    @Test
    void whatIsNoMessageIsDropped() {
        assertThat(PeerCodec.read("not a message at all".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
        assertThat(PeerCodec.read(new byte[0])).isEmpty();
    }

    /** Guards against a datagram of another writer that ends a relay, or has it believe what no relay says. */
    @Property
    void whateverBytesComeAreReadOrDropped(@ForAll byte[] bytes) {
        assertThat(PeerCodec.read(bytes)).isNotNull();
    }

    /** The same for messages that were sound before one byte changed, or that break off. */
    @Property
    void aSpoiltMessageIsReadOrDropped(
            @ForAll @IntRange(max = 400) int place, @ForAll byte changed, @ForAll boolean breaksOff) {
        byte[] sound = PeerCodec.write(load(7, 9, 90_000));
        int at = place % sound.length;
        byte[] spoilt = breaksOff ? Arrays.copyOf(sound, at) : sound.clone();
        if (!breaksOff) {
            spoilt[at] = changed;
        }

        PeerCodec.read(spoilt)
                .ifPresent(message ->
                        assertThat(figures((PeerCodec.Message.Load) message)).allMatch(figure -> figure >= 0));
    }

    private static List<Long> figures(PeerCodec.Message.Load message) {
        List<Long> figures = new ArrayList<>(List.of(message.load().intervalMillis()));
        for (TargetLoad target : message.load().targets()) {
            figures.addAll(List.of((long) target.requests(), target.tokens(), target.pendingPrefillTokens()));
        }
        return figures;
    }

    @ParameterizedTest
    @CsvSource({"-1, 5, 5", "5, -1, 5", "5, 5, -1", "2000000, 5, 5", "5, 9000000000000000, 5"})
    void figuresThatNoRelayHasAreRefused(int requests, long tokens, long unread) {
        LoadReport odd = LoadReport.ofTargets(
                "relay-1",
                1,
                true,
                List.of(new TargetLoad("i-1", requests, tokens, unread)),
                true,
                new ReadPositions(LogPosition.START, LogPosition.START, LogPosition.START, LogPosition.START));

        assertThat(PeerCodec.read(PeerCodec.write(odd))).isEmpty();
    }

    /** Guards against the load of a peer that has ended and counts for hours, as long as its next report is due in. */
    @ParameterizedTest
    @CsvSource({"60000, true", "60001, false", "3600000, false", "-1, false"})
    void anIntervalThatNoRelayKeepsIsRefused(long intervalMillis, boolean read) {
        LoadReport load = load(6, 1, 1).withInterval(intervalMillis, List.of());

        assertThat(PeerCodec.read(PeerCodec.write(load)).isPresent()).isEqualTo(read);
    }

    /** Guards against news of a store that are taken for later than now. */
    @Test
    void newsOfAnAgeBelowZeroAreRefused() {
        StoreUpdate news = new StoreUpdate(1, 2, false, List.of(), OptionalLong.empty());

        assertThat(PeerCodec.read(PeerCodec.write(new SharedStoreUpdate(new Address("10.0.0.1", 80), 0, news, -1))))
                .isEmpty();
    }
}
