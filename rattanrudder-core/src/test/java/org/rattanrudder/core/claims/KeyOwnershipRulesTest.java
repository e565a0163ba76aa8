package org.rattanrudder.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.model.Digest;

/** Tests the alternatives to claims in the log that docs/design/at-most-once.md discusses. */
class KeyOwnershipRulesTest {
    private static final Digest KEY = ClaimSimulation.call(0, 0).key();

    private enum Rule {
        CLAIM_FIRST,
        FIXED_HOME,
        SWITCHED_DURING_LOG_OUTAGE
    }

    /**
     * Failure: a call runs twice. The home of a key is cut off from the log and switches to its memory because the log
     * seems down; the caller's retry reaches another companion, which finds no claim in the log. Each rule on its own
     * runs the call once, the mix runs it twice.
     */
    @ParameterizedTest
    @CsvSource({"CLAIM_FIRST, 1", "FIXED_HOME, 1", "SWITCHED_DURING_LOG_OUTAGE, 2"})
    void aHomeThatSwitchesRulesDuringALogOutageLetsAKeyRunTwice(Rule rule, int runs) {
        ClaimSimulation simulation = new ClaimSimulation(1);
        List<String> names = List.of("companion-0", "companion-1", "companion-2");
        String home = FixedHomeRule.home(KEY, names);
        SimulatedCompanion isolated = simulation.companions.get(names.indexOf(home));
        SimulatedCompanion other = simulation.companions.get((names.indexOf(home) + 1) % 3);

        isolated.claims.onReadFailed();
        int total = runs(rule, simulation, isolated, home);
        total += runs(rule, simulation, other, home);

        assertThat(total).isEqualTo(runs);
    }

    private static int runs(Rule rule, ClaimSimulation simulation, SimulatedCompanion companion, String home) {
        boolean isHome = companion.name.equals(home);
        if (rule == Rule.FIXED_HOME) {
            return isHome ? 1 : 0;
        }
        boolean logUnavailable = !companion.claims.isLogAvailable(simulation.nowMicros);
        if (rule == Rule.SWITCHED_DURING_LOG_OUTAGE && logUnavailable && isHome) {
            return 1;
        }
        simulation.ask(companion, ClaimSimulation.call(0, 0));
        while (simulation.log.inFlight() > 0) {
            simulation.log.deliver(0, simulation.nowMicros);
        }
        if (!logUnavailable) {
            companion.read(100, simulation.nowMicros);
        }
        return companion.running.size();
    }

    /**
     * The fixed-home rule on its own runs no key twice, even if homes crash with unwritten keys and restart, and
     * documents move keys while handovers are read late.
     */
    @Property(seed = "51", tries = 500)
    void aFixedHomeRunsNoKeyTwiceThroughCrashesAndHandovers(@ForAll long seed) {
        Random random = new Random(seed);
        List<FixedHomeRule.Entry> log = new ArrayList<>(List.of(new FixedHomeRule.Document(List.of("a", "b"))));
        List<String> names = List.of("a", "b", "c");
        List<FixedHomeRule> homes = new ArrayList<>();
        names.forEach(name -> homes.add(new FixedHomeRule(name, false, log)));
        Set<Digest> ran = new HashSet<>();
        for (int step = 0; step < 300; step++) {
            int number = random.nextInt(3);
            FixedHomeRule home = homes.get(number);
            int choice = random.nextInt(100);
            if (choice == 0) {
                homes.set(number, new FixedHomeRule(names.get(number), true, log));
            } else if (choice < 4) {
                log.add(new FixedHomeRule.Document(
                        List.of(names.get(random.nextInt(3)), names.get(random.nextInt(3)))));
            } else if (choice < 8) {
                home.flush();
            } else if (choice < 60) {
                home.readNext();
            } else {
                Digest key = ClaimSimulation.call(random.nextInt(30), 0).key();
                if (home.ask(key) == FixedHomeRule.Outcome.RUNS) {
                    assertThat(ran.add(key)).as("first run of %s", key).isTrue();
                }
            }
        }
    }
}
