package org.rattanrudder.daemon.relay.targets;

import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.fleet.Fleet;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetRegistration;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.topics.LogPosition;

/** Creates targets for tests. */
public final class TestTargets {
    private TestTargets() {}

    /** Returns a target that was just registered. */
    public static Target target(String id, Map<String, Long> weights, long nowMillis) {
        Fleet fleet = new Fleet();
        fleet.apply(
                id,
                Optional.of(new TargetRegistration(
                        id,
                        TargetRegistration.START_UNKNOWN,
                        "llm",
                        new Address("10.0.0.1", 80),
                        "north",
                        128,
                        false,
                        weights)),
                LogPosition.START.plus(1),
                nowMillis);
        return fleet.find(id).orElseThrow();
    }
}
