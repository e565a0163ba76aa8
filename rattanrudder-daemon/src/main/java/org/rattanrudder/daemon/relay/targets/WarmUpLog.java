package org.rattanrudder.daemon.relay.targets;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.WarmUpAdmission.Knowledge;
import org.rattanrudder.core.gateway.WarmUpTraits;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Logs when targets begin and end to warm up, as far as this relay knows. */
final class WarmUpLog {
    private final RelayState state;
    private Set<String> warming = Set.of();

    /** Creates a log of targets none of which is warming up. */
    WarmUpLog(RelayState state) {
        this.state = state;
        state.metrics()
                .gauge("rattanrudder_relay_targets_warming", "Targets that are warming up", () -> warming.size());
    }

    /** Logs the targets whose state has changed since the last update. */
    void update(long now) {
        Set<String> before = warming;
        Set<String> current = new HashSet<>();
        for (Target target : state.fleet().all(now)) {
            state.warmUpTraits(target.registration().service())
                    .ifPresent(traits -> find(target, traits, now).ifPresent(known -> {
                        current.add(target.id());
                        if (!before.contains(target.id())) {
                            logBegin(target, traits, known);
                        }
                    }));
        }
        before.stream()
                .filter(id -> !current.contains(id))
                .forEach(id -> state.log().info("warm_up_ended", "target", id));
        warming = current;
    }

    private Optional<Knowledge> find(Target target, WarmUpTraits traits, long now) {
        return state.warmUps().knowledge(target, traits, now);
    }

    private void logBegin(Target target, WarmUpTraits traits, Knowledge known) {
        state.log()
                .info(
                        "warm_up_began",
                        "target",
                        target.id(),
                        "domain",
                        target.registration().failureDomain(),
                        "evidence",
                        known.evidence(),
                        "age_ms",
                        Long.toString(known.ageMillis()),
                        "remaining_ms",
                        Long.toString(known.remainingMillis()),
                        "own_share",
                        Integer.toString(state.warmUps().ownShare(target, traits)));
    }
}
