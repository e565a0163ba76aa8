package org.rattanrudder.wire.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.RelayLoad;
import org.rattanrudder.core.fleet.RelayLoad.KnownWeights;
import org.rattanrudder.core.fleet.RelayLoad.ServedWeights;
import org.rattanrudder.core.fleet.RelayLoad.TargetLoad;

class PeerCodecTest {
    @Property
    void whatIsWrittenIsReadBack(
            @ForAll @LongRange(min = 0) long sequence,
            @ForAll @IntRange(max = 9_000) int requests,
            @ForAll @LongRange(min = 0) long tokens) {
        RelayLoad load = new RelayLoad(
                "relay-1",
                sequence,
                List.of(new TargetLoad("i-1", requests, tokens, tokens / 2), new TargetLoad("i-2", 1, 2, 3)),
                List.of(new KnownWeights("m", 7, tokens)),
                List.of(new ServedWeights("i-1", "m", 7)));

        assertThat(PeerCodec.read(PeerCodec.write(load))).contains(load);
    }

    @Test
    void whatIsNoMessageIsDropped() {
        assertThat(PeerCodec.read("not a message at all".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
        assertThat(PeerCodec.read(new byte[0])).isEmpty();
    }
}
