package org.rattanrudder.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.TargetName;

/** Target pools for tests; targets with even numbers are in domain-0, the others in domain-1. */
final class TestPools {
    static final long NOW = 10_000_000;
    static final int SLOTS = 10;
    static final ContextCosts COSTS = new ContextCosts(10_000, 0, 0);

    private TestPools() {}

    static TargetPool idle(int count) {
        TargetPool pool = new TargetPool(settings(count));
        pool.targets().forEach(target -> report(target, true, 0, 0, NOW));
        return pool;
    }

    static List<TargetSettings> settings(int count) {
        List<TargetSettings> settings = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            Address address = new Address("10.0." + number / 256 + "." + number % 256, 9000);
            settings.add(new TargetSettings(
                    new TargetName("target-" + number),
                    address,
                    address,
                    "domain-" + number % 2,
                    true,
                    false,
                    0,
                    SLOTS));
        }
        return settings;
    }

    static void report(RoutableTarget target, boolean accepting, int running, long waitMicros, long nowMicros) {
        target.applyReport(
                new Frame.TargetState(target.name(), accepting, running, 0, waitMicros, "v1", 0, 0), nowMicros);
    }
}
