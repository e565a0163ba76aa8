package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AllowedRegionsTest {
    private enum Region {
        EAST,
        MIDDLE,
        WEST
    }

    private static AllowedRegions of(List<Region> regions) {
        return AllowedRegions.of(regions.stream().map(Enum::name).toList());
    }

    @Property
    void bothRestrictionsApply(@ForAll List<Region> ofRoute, @ForAll List<Region> ofCustomer, @ForAll Region region) {
        boolean expected = (ofRoute.isEmpty() || ofRoute.contains(region))
                && (ofCustomer.isEmpty() || ofCustomer.contains(region));

        assertThat(of(ofRoute).and(of(ofCustomer)).allows(Optional.of(region.name())))
                .isEqualTo(expected);
    }

    /** Guards against a request that leaves its regions for a failure domain whose region isn't known. */
    @ParameterizedTest
    @CsvSource({"'', true", "EAST, false"})
    void unknownRegionIsAllowedOnlyWithoutRestriction(String names, boolean allowed) {
        AllowedRegions regions = AllowedRegions.of(names.isEmpty() ? List.of() : List.of(names));

        assertThat(regions.allows(Optional.empty())).isEqualTo(allowed);
    }
}
