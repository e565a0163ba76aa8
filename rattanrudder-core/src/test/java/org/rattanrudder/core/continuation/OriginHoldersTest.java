package org.rattanrudder.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OriginHoldersTest {
    private static final int HOLDERS = 2;

    private static List<String> relays(int count) {
        return IntStream.range(0, count).mapToObj(index -> "relay-" + index).toList();
    }

    private static OriginHolders holders(List<String> relays) {
        OriginHolders holders = new OriginHolders(HOLDERS);
        holders.updateRelays(relays);
        return holders;
    }

    @Property
    void allRelaysNameTheSameHolders(@ForAll @IntRange(min = 1, max = 40) int count, @ForAll long stream) {
        List<String> reversed = new ArrayList<>(relays(count));
        Collections.reverse(reversed);
        StreamKey key = new StreamKey(stream, 0);

        List<String> named = holders(relays(count)).of(key);

        assertThat(named).hasSize(Math.min(HOLDERS, count)).doesNotHaveDuplicates();
        assertThat(holders(reversed).of(key)).isEqualTo(named);
    }

    /** Guards against streams that nobody is asked for rightly: one relay has died, and not all have noticed it. */
    @Property
    void relaysThatDisagreeOnOneRelayShareAHolder(
            @ForAll @IntRange(min = 2, max = 40) int count, @ForAll @IntRange(max = 39) int died, @ForAll long stream) {
        List<String> left = new ArrayList<>(relays(count));
        left.remove("relay-" + died % count);
        StreamKey key = new StreamKey(stream, 0);

        assertThat(holders(left).of(key))
                .containsAnyElementsOf(holders(relays(count)).of(key));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 33, 300})
    void streamsAreSpreadEvenlyOverRelays(int count) {
        OriginHolders holders = holders(relays(count));
        int streams = count * 200;
        Map<String, Integer> held = new HashMap<>();
        for (int stream = 0; stream < streams; stream++) {
            holders.of(StreamKey.of("", "r" + stream)).forEach(relay -> held.merge(relay, 1, Integer::sum));
        }

        int mean = HOLDERS * streams / count;
        assertThat(held.values()).hasSize(count).allMatch(each -> each > mean / 2 && each < 2 * mean);
    }

    @Test
    void withoutRelaysNobodyIsNamed() {
        assertThat(new OriginHolders(HOLDERS).of(new StreamKey(1, 2))).isEmpty();
    }
}
