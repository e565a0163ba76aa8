package org.rattanrudder.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.rattanrudder.core.topics.TestPositions.position;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.model.Address;

class EvacuationsTest {
    private static final long NOW = 50_000;

    private final Fleet fleet = new Fleet();

    private void register(String id, String domain) {
        TargetRegistration registration = new TargetRegistration(
                id,
                TargetRegistration.START_UNKNOWN,
                "llm",
                new Address("10.0.0.1", 80),
                domain,
                4,
                false,
                Map.of("m", 1L));
        fleet.apply(id, Optional.of(registration), position(1), NOW);
    }

    private List<String> usable() {
        return fleet.usableTargets("llm", NOW).stream().map(Target::id).toList();
    }

    @Test
    void evacuatedDomainGetsNoRequestsButStillLoadsWeights() {
        register("i-1", "north");
        register("i-2", "south");

        fleet.evacuations().apply("north", true, position(5), NOW);

        assertThat(usable()).containsExactly("i-2");
        assertThat(fleet.activeTargets("llm", NOW)).hasSize(2);
    }

    /** Guards against a target that registers, or registers again, during the evacuation of its domain. */
    @Test
    void targetThatRegistersDuringTheEvacuationGetsNoRequests() {
        fleet.evacuations().apply("north", true, position(5), NOW);

        register("i-1", "north");

        assertThat(usable()).isEmpty();
    }

    @Test
    void evacuationOfAllDomainsLeavesNoTarget() {
        register("i-1", "north");
        register("i-2", "south");
        fleet.evacuations().apply("north", true, position(5), NOW);
        fleet.evacuations().apply("south", true, position(6), NOW);

        assertThat(usable()).isEmpty();
    }

    @Test
    void unknownDomainChangesNothing() {
        register("i-1", "north");

        fleet.evacuations().apply("elsewhere", true, position(5), NOW);

        assertThat(usable()).containsExactly("i-1");
    }

    /** Guards against a log that returns an older state: an evacuation that was taken back would begin again. */
    @Test
    void olderRecordIsIgnored() {
        Evacuations evacuations = fleet.evacuations();
        evacuations.apply("north", true, position(5), NOW);
        evacuations.apply("north", false, position(7), NOW);

        assertThat(evacuations.apply("north", true, position(5), NOW)).isFalse();
        assertThat(evacuations.isEvacuated("north")).isFalse();
    }

    @Test
    void repeatedRecordIsNoChange() {
        Evacuations evacuations = fleet.evacuations();

        assertThat(evacuations.apply("north", true, position(5), NOW)).isTrue();
        assertThat(evacuations.apply("north", true, position(9), NOW)).isFalse();
        assertThat(evacuations.isEvacuated("north")).isTrue();
    }

    /** Guards against an evacuation whose end was dropped from the log before it was read. */
    @Test
    void listingWithoutTheDomainEndsItsEvacuation() {
        Evacuations evacuations = fleet.evacuations();
        evacuations.apply("north", true, position(5), NOW);
        evacuations.apply("south", true, position(12), NOW);

        assertThat(evacuations.applyListing(Set.of(), position(10), NOW)).containsExactly("north");
        assertThat(evacuations.evacuated()).containsExactly("south");
    }

    /** Guards against records that are read late, twice or in another order than they were written. */
    @Property
    void newestRecordDecidesInWhateverOrderRecordsAreRead(
            @ForAll @Size(min = 1, max = 12) List<Boolean> written, @ForAll long seed) {
        List<Integer> read = new ArrayList<>();
        for (int offset = 0; offset < written.size(); offset++) {
            read.addAll(List.of(offset, offset));
        }
        Collections.shuffle(read, new Random(seed));
        Evacuations evacuations = new Evacuations();

        read.forEach(offset -> evacuations.apply("north", written.get(offset), position(offset), NOW + offset));

        assertThat(evacuations.isEvacuated("north")).isEqualTo(written.get(written.size() - 1));
    }
}
