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

/** The rules that were weighed beside claims in the log; docs/design/at-most-once.md tells what came of them. */
class HomeRulesTest {
    private static final Digest KEY = ClaimWorld.call(0, 0).key();

    private enum Rule {
        CLAIM_FIRST,
        FIXED_HOME,
        SWITCHED_WHEN_THE_LOG_LOOKS_DOWN
    }

    /**
     * Villages are evacuated twice by one alarm. A key's home is cut off from the log and runs the call from its
     * memory, since "the log looks down". The caller's repeat comes in through an entry that can't reach the home and
     * goes to another companion, for which the log is up and holds no claim. Each rule alone runs it once; the mix
     * runs it twice.
     */
    @ParameterizedTest
    @CsvSource({"CLAIM_FIRST, 1", "FIXED_HOME, 1", "SWITCHED_WHEN_THE_LOG_LOOKS_DOWN, 2"})
    void aHomeThatSwitchesRulesWhenTheLogLooksDownLetsAKeyRunTwice(Rule rule, int runs) {
        ClaimWorld world = new ClaimWorld(1);
        List<String> names = List.of("companion-0", "companion-1", "companion-2");
        String home = FixedHome.home(KEY, names);
        SimulatedCompanion isolated = world.companions.get(names.indexOf(home));
        SimulatedCompanion other = world.companions.get((names.indexOf(home) + 1) % 3);

        isolated.claims.onReadFailed();
        int counted = runs(rule, world, isolated, home);
        counted += runs(rule, world, other, home);

        assertThat(counted).isEqualTo(runs);
    }

    private static int runs(Rule rule, ClaimWorld world, SimulatedCompanion companion, String home) {
        boolean isHome = companion.name.equals(home);
        if (rule == Rule.FIXED_HOME) {
            return isHome ? 1 : 0;
        }
        boolean logLooksDown = !companion.claims.isLogAvailable(world.now);
        if (rule == Rule.SWITCHED_WHEN_THE_LOG_LOOKS_DOWN && logLooksDown && isHome) {
            return 1;
        }
        world.ask(companion, ClaimWorld.call(0, 0));
        while (world.log.onTheWay() > 0) {
            world.log.land(0, world.now);
        }
        if (!logLooksDown) {
            companion.read(100, world.now);
        }
        return companion.running.size();
    }

    /**
     * A fixed home is safe alone too: homes crash with keys that were not written, restart, and documents move keys
     * while acknowledgements are read late.
     */
    @Property(seed = "51", tries = 500)
    void aFixedHomeRunsNoKeyTwiceThroughCrashesAndMoves(@ForAll long seed) {
        Random random = new Random(seed);
        List<FixedHome.Entry> log = new ArrayList<>(List.of(new FixedHome.Document(List.of("a", "b"))));
        List<String> names = List.of("a", "b", "c");
        List<FixedHome> homes = new ArrayList<>();
        names.forEach(name -> homes.add(new FixedHome(name, false, log)));
        Set<Digest> ran = new HashSet<>();
        for (int step = 0; step < 300; step++) {
            int number = random.nextInt(3);
            FixedHome home = homes.get(number);
            int choice = random.nextInt(100);
            if (choice == 0) {
                homes.set(number, new FixedHome(names.get(number), true, log));
            } else if (choice < 4) {
                log.add(new FixedHome.Document(List.of(names.get(random.nextInt(3)), names.get(random.nextInt(3)))));
            } else if (choice < 8) {
                home.write();
            } else if (choice < 60) {
                home.readNext();
            } else {
                Digest key = ClaimWorld.call(random.nextInt(30), 0).key();
                if (home.ask(key) == FixedHome.Outcome.RUNS) {
                    assertThat(ran.add(key)).as("first run of %s", key).isTrue();
                }
            }
        }
    }
}
