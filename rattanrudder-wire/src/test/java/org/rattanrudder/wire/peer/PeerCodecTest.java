package org.rattanrudder.wire.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.RelayLoad;
import org.rattanrudder.core.fleet.RelayLoad.KnownWeights;
import org.rattanrudder.core.fleet.RelayLoad.ReadTo;
import org.rattanrudder.core.fleet.RelayLoad.ServedWeights;
import org.rattanrudder.core.fleet.RelayLoad.TargetLoad;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.parts.PartEvent;
import org.rattanrudder.core.parts.PartKey;
import org.rattanrudder.core.parts.SharedNews;
import org.rattanrudder.core.parts.StoreLateness;
import org.rattanrudder.core.parts.StoreNews;

class PeerCodecTest {
    @Property
    void whatIsWrittenIsReadBack(
            @ForAll @LongRange(min = 0) long sequence,
            @ForAll @IntRange(max = 9_000) int requests,
            @ForAll @LongRange(min = 0) long tokens) {
        RelayLoad load = new RelayLoad(
                "relay-1",
                sequence,
                sequence % 3 == 0,
                List.of(new TargetLoad("i-1", requests, tokens, tokens / 2), new TargetLoad("i-2", 1, 2, 3)),
                List.of(new KnownWeights("m", 7, tokens)),
                List.of(new ServedWeights("i-1", "m", 7)),
                List.of("i-2"),
                List.of("i-3", "i-4"),
                sequence % 2 == 0,
                new ReadTo(sequence / 3, sequence / 2),
                List.of(
                        new StoreLateness(new Address("10.0.0.1", 80), requests, requests),
                        new StoreLateness(new Address("10.0.0.2", 80), 1, 0)),
                requests);

        assertThat(PeerCodec.read(PeerCodec.write(load))).contains(new PeerCodec.Message.Load(load));
    }

    @Property
    void newsOfStoresIsReadBack(
            @ForAll long incarnation, @ForAll @LongRange(min = 0) long next, @ForAll boolean clockKnown) {
        StoreNews news = new StoreNews(
                incarnation,
                next,
                false,
                List.of(
                        new PartEvent(new PartKey("w1", "5c1e07a2"), 800, true),
                        new PartEvent(new PartKey("w1", "x"), 0, false)),
                clockKnown ? OptionalLong.of(-next) : OptionalLong.empty());
        SharedNews shared = new SharedNews(new Address("10.0.0.1", 80), next / 2, news, next / 3);

        assertThat(PeerCodec.read(PeerCodec.write(shared))).contains(new PeerCodec.Message.News(shared));
    }

    @Test
    void whatIsNoMessageIsDropped() {
        assertThat(PeerCodec.read("not a message at all".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
        assertThat(PeerCodec.read(new byte[0])).isEmpty();
    }
}
