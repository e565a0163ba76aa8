package org.rattanrudder.daemon.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.time.ClockDisturbance;
import org.rattanrudder.core.time.ClockDisturbance.Kind;
import org.rattanrudder.core.time.Moment;

class ProcessClockTest {
    private static final int MINUTE_OF_CHECKS = 125;
    private static final long CHECK_MILLIS = 500;

    private final MachineClocks machine = new MachineClocks();
    private final ProcessClock clock = new ProcessClock(machine);
    private final List<ClockDisturbance> heard = new ArrayList<>();

    private void prove() {
        clock.setListener(heard::add);
        for (int check = 0; check < MINUTE_OF_CHECKS; check++) {
            machine.pass(CHECK_MILLIS);
            clock.check();
        }
    }

    private Moment since(Moment before) {
        Moment now = clock.now();
        return new Moment(now.atLeastMillis() - before.atLeastMillis(), now.atMostMillis() - before.atMostMillis());
    }

    /** The first look at the clock after a suspension already counts it. */
    @Test
    void suspensionIsCountedAtTheFirstLook() {
        prove();
        Moment before = clock.now();
        machine.suspend(6_000);

        assertThat(since(before)).isEqualTo(new Moment(6_000, 6_000));
        assertThat(heard).extracting(ClockDisturbance::kind).containsExactly(Kind.SUSPENDED);
    }

    /** A machine that is suspended between the readings of two clocks showed a jump, and the suspension once more. */
    @Test
    void suspensionBetweenTwoReadingsIsCountedOnce() {
        prove();
        Moment before = clock.now();
        machine.beforeBoot(() -> machine.suspend(6_000));
        clock.check();

        assertThat(since(before)).isEqualTo(new Moment(6_000, 6_000));
        assertThat(heard).extracting(ClockDisturbance::kind).containsExactly(Kind.SUSPENDED);
    }

    @Test
    void jumpOfTheTimeOfDayChangesNothing() {
        prove();
        Moment before = clock.now();
        machine.jump(3_000);
        clock.check();
        machine.jump(-3_000);

        assertThat(since(before)).isEqualTo(new Moment(0, 0));
    }

    @Test
    void withoutABootClockASuspensionIsOnlyPossible() {
        machine.hideBootClock();
        prove();
        Moment before = clock.now();
        machine.suspend(6_000);

        assertThat(since(before)).isEqualTo(new Moment(0, 6_000));
        assertThat(heard).extracting(ClockDisturbance::kind).containsExactly(Kind.UNDECIDED);
    }

    @Test
    void bootClockOfThisMachineIsReadOrMissing() {
        long first = ClockSource.system().bootMillis().orElse(1);
        long second = ClockSource.system().bootMillis().orElse(1);

        assertThat(first).isPositive();
        assertThat(second).isGreaterThanOrEqualTo(first);
    }
}
