package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.model.Address;

/** What a fleet says of the software that all targets of a service have run. */
class SoleSoftwareTest {
    private static final String SERVICE = "llm";
    private static final long STEP = 100;

    private static Optional<String> version(int number) {
        return number == 0 ? Optional.empty() : Optional.of("v" + number);
    }

    /** What one relay has read. */
    private static final class View {
        private final Fleet fleet = new Fleet();
        private long offset;

        void register(int target, int version, long now) {
            String id = "i-" + target;
            TargetRegistration registration = new TargetRegistration(
                    id,
                    TargetRegistration.START_UNKNOWN,
                    SERVICE,
                    new Address("10.0.0.1", 80),
                    "north",
                    8,
                    false,
                    Map.of("m", 1L),
                    OptionalLong.empty(),
                    version(version));
            fleet.apply(id, Optional.of(registration), position(offset++), now);
        }

        void remove(int target, long now) {
            fleet.apply("i-" + target, Optional.empty(), position(offset++), now);
        }

        Optional<StreamOrigin> sole(long since, long now) {
            return fleet.softwareSince(SERVICE, since, now).sole();
        }

        void list(long now, String... ids) {
            fleet.applyListing(Set.of(ids), position(offset), now);
        }
    }

    private final View view = new View();

    @Test
    void beforeAllTargetsAreListedNothingIsCertain() {
        view.register(1, 1, 0);
        assertThat(view.sole(5, 10)).isEmpty();

        view.list(20, "i-1");

        assertThat(view.sole(19, 30)).isEmpty();
        assertThat(view.sole(20, 30)).contains(new StreamOrigin(SERVICE, "v1"));
    }

    /** Guards against a version that came and went while nothing was read. */
    @Test
    void anotherListingBeginsTheHistoryAnew() {
        view.register(1, 1, 0);
        view.list(0, "i-1");
        view.list(500, "i-1");

        assertThat(view.sole(499, 600)).isEmpty();
        assertThat(view.sole(500, 600)).isPresent();
    }

    /** Guards against the same for one target whose registration wasn't read, only its removal. */
    @Test
    void theRemovalOfATargetThatWasNeverReadBeginsTheHistoryAnew() {
        view.register(1, 1, 0);
        view.list(0, "i-1");
        view.remove(2, 500);

        assertThat(view.sole(499, 600)).isEmpty();
        assertThat(view.sole(500, 600)).isPresent();
    }

    /** Guards against a target that peers go on to use, forgotten since another one answered at its address. */
    @Test
    void aTargetThatIsUsedNoMoreHereStillRunsItsSoftware() {
        view.register(1, 1, 0);
        view.register(2, 2, 0);
        view.list(0, "i-1", "i-2");

        view.fleet.removeReplaced("i-2", 100);

        assertThat(view.sole(10_000, 20_000)).isEmpty();
        view.remove(2, 30_000);
        assertThat(view.sole(29_999, 40_000)).isEmpty();
        assertThat(view.sole(30_001, 40_000)).contains(new StreamOrigin(SERVICE, "v1"));
    }

    /** Guards against a target of any service and software behind a record that can't be read. */
    @Test
    void nothingIsCertainWhileARecordCannotBeRead() {
        view.register(1, 1, 0);
        view.list(0, "i-1");

        view.fleet.onUnreadableRecord("i-2", position(view.offset++), 100);

        assertThat(view.sole(10_000, 20_000)).isEmpty();
        view.remove(2, 30_000);
        assertThat(view.sole(29_999, 40_000)).isEmpty();
        assertThat(view.sole(30_001, 40_000)).contains(new StreamOrigin(SERVICE, "v1"));
    }

    /** Guards against targets that were registered in a restored log, at offsets that were read before. */
    @Test
    void nothingIsCertainAfterTheLogWasBehindUntilAllTargetsAreListed() {
        view.register(1, 1, 0);
        view.list(0, "i-1");

        view.fleet.onRegistrationsMissed();

        assertThat(view.sole(10_000, 20_000)).isEmpty();
        view.list(30_000, "i-1");
        assertThat(view.sole(30_000, 40_000)).contains(new StreamOrigin(SERVICE, "v1"));
    }

    /** Guards against a guess where two versions may have begun a stream, or a target that doesn't say. */
    @Property
    void whatIsCertainIsWhatEachTargetRanSince(
            @ForAll @Size(max = 24) List<@IntRange(max = 2) Integer> targets,
            @ForAll @Size(24) List<@IntRange(min = -1, max = 2) Integer> versions,
            @ForAll @IntRange(max = 24) int reach) {
        View read = new View();
        read.list(0);
        List<Set<String>> running = new ArrayList<>();
        Optional<String>[] now = newTargets();
        for (int step = 0; step < targets.size(); step++) {
            int target = targets.get(step);
            int version = versions.get(step);
            Set<String> seen = new TreeSet<>();
            add(seen, now);
            if (version >= 0) {
                read.register(target, version, step * STEP);
                now[target] = Optional.of(version(version).orElse("unnamed"));
            } else if (now[target] != null) {
                read.remove(target, step * STEP);
                now[target] = null;
            }
            add(seen, now);
            running.add(seen);
        }
        int first = Math.max(0, targets.size() - reach);
        Set<String> since = new TreeSet<>();
        add(since, now);
        running.subList(first, targets.size()).forEach(since::addAll);
        Optional<StreamOrigin> expected = since.size() == 1 && !since.contains("unnamed")
                ? Optional.of(new StreamOrigin(SERVICE, since.iterator().next()))
                : Optional.empty();

        assertThat(read.sole(first * STEP, targets.size() * STEP)).isEqualTo(expected);
    }

    @SuppressWarnings("unchecked")
    private static Optional<String>[] newTargets() {
        return new Optional[3];
    }

    private static void add(Set<String> seen, Optional<String>[] now) {
        for (Optional<String> each : now) {
            if (each != null) {
                seen.add(each.get());
            }
        }
    }
}
