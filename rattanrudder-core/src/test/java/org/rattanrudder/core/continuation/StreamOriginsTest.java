package org.rattanrudder.core.continuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.continuation.StreamOrigins.Source;

class StreamOriginsTest {
    private static final long KEPT = 4_000;
    private static final StreamKey STREAM = StreamKey.of("north mine", "r1");
    private static final Optional<StreamOrigin> OLDER = Optional.of(new StreamOrigin("llm", "v1"));
    private static final Optional<StreamOrigin> NEWER = Optional.of(new StreamOrigin("llm", "v2"));

    private final StreamOrigins origins = new StreamOrigins();

    private Optional<Optional<StreamOrigin>> find(StreamKey key, long nowMillis) {
        return origins.find(key, nowMillis).map(StreamOrigins.Known::origin);
    }

    @Test
    void aStreamIsKnownForAsLongAsItsCallerMayComeBack() {
        origins.record(STREAM, OLDER, Source.TOLD, KEPT, 100);

        assertThat(find(STREAM, 100 + KEPT)).contains(OLDER);
        assertThat(find(STREAM, 101 + KEPT)).isEmpty();
    }

    @Test
    void howAndSinceWhenAStreamIsKnownStaysAsItWasWhenAPeerTellsItToo() {
        origins.record(STREAM, OLDER, Source.OWN, KEPT, 100);
        origins.record(STREAM, OLDER, Source.TOLD, KEPT, 600);

        StreamOrigins.Known known = origins.find(STREAM, 1_100).orElseThrow();
        assertThat(known).isEqualTo(new StreamOrigins.Known(OLDER, Source.OWN, 1_000, KEPT - 500));
    }

    /** Guards against a caller's ID that was used for streams of two versions: either could be meant. */
    @Test
    void twoBeginningsOfDifferentSoftwareUnderOneNameLeaveItUnknown() {
        origins.record(STREAM, OLDER, Source.OWN, KEPT, 0);
        origins.record(STREAM, NEWER, Source.TOLD, KEPT, 1);
        origins.record(STREAM, NEWER, Source.TOLD, KEPT, 2);

        assertThat(find(STREAM, 3)).contains(Optional.empty());
    }

    /** Guards against one customer's stream that goes on at the software of another's, whose ID it has or guesses. */
    @Test
    void customersThatChooseTheSameIdNameDifferentStreams() {
        origins.record(STREAM, OLDER, Source.OWN, KEPT, 0);

        assertThat(find(StreamKey.of("south mine", "r1"), 0)).isEmpty();
        assertThat(StreamKey.of("a", "bc")).isNotEqualTo(StreamKey.of("ab", "c"));
    }

    @Test
    void memoryIsBoundedAndTheOldestAreForgottenFirst() {
        for (int stream = 0; stream <= StreamOrigins.MAX_STREAMS; stream++) {
            origins.record(StreamKey.of("", "r" + stream), OLDER, Source.OWN, KEPT, stream / 1_000);
        }

        assertThat(origins.size()).isEqualTo(StreamOrigins.MAX_STREAMS);
        assertThat(find(StreamKey.of("", "r0"), 40)).isEmpty();
        assertThat(find(StreamKey.of("", "r1"), 40)).contains(OLDER);
    }

    @Test
    void noDeadlineKeepsAStreamForever() {
        origins.record(STREAM, OLDER, Source.OWN, Long.MAX_VALUE / 2, 0);

        assertThat(find(STREAM, StreamOrigins.MAX_KEPT_MILLIS + 1)).isEmpty();
    }

    /** Guards against a wrong origin: what is found is what all beginnings under the name had, or unknown. */
    @Property
    void whatIsFoundIsWhatAllBeginningsHad(
            @ForAll @Size(max = 40) List<@IntRange(max = 2) Integer> names, @ForAll @Size(40) List<Boolean> newer) {
        StreamOrigins memory = new StreamOrigins();
        Map<Integer, Set<Optional<StreamOrigin>>> begun = new HashMap<>();
        for (int step = 0; step < names.size(); step++) {
            Optional<StreamOrigin> origin = newer.get(step) ? NEWER : OLDER;
            begun.computeIfAbsent(names.get(step), unseen -> new HashSet<>()).add(origin);
            memory.record(StreamKey.of("", "r" + names.get(step)), origin, Source.TOLD, KEPT, step);
        }
        begun.forEach((name, all) -> {
            Optional<StreamOrigin> expected = all.size() == 1 ? all.iterator().next() : Optional.empty();
            assertThat(memory.find(StreamKey.of("", "r" + name), names.size())
                            .orElseThrow()
                            .origin())
                    .isEqualTo(expected);
        });
    }
}
