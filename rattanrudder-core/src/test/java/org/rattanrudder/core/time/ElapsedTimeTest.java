package org.rattanrudder.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.time.ClockDisturbance.Kind;

class ElapsedTimeTest {
    private static final long PROOF = BootClockTrust.CONTRADICT_MILLIS + 1_000;
    private static final long CHECK_MILLIS = 500;
    private static final long WINDOW_MILLIS = 15_000;

    /** The tolerance, once for what is followed and once for what is fallen behind, and the clocks' resolutions. */
    private static final long SLACK_MILLIS = 2 * ElapsedTime.TOLERANCE_MILLIS + 20;

    /** How the clock that counts suspensions behaves. */
    private enum BootClock {
        TRUE,
        MISSING,
        FAST,
        SLOW,
        STANDING,
        /** Of another world: 0.2 to 3 times as fast, at a rate that changes all the time. */
        ERRATIC,
        OFTEN_UNREADABLE
    }

    /** A machine with three clocks, and a process that reads them. */
    private static final class Machine {
        private final BootClock bootClock;
        private final Random random;
        private double bootRate;
        private long now;
        private long suspended;
        private long jumped;
        private double boot = 7_000_000;
        private ElapsedTime time;

        Machine(BootClock bootClock, long seed) {
            this.bootClock = bootClock;
            random = new Random(seed);
            bootRate = bootClock == BootClock.FAST
                    ? 1.01 + 20 * random.nextDouble()
                    : bootClock == BootClock.SLOW ? 0.99 * random.nextDouble() : 1;
            time = new ElapsedTime(monotonic(), timeOfDay(), boot());
        }

        long monotonic() {
            return now - suspended + 1_000;
        }

        long timeOfDay() {
            return now + jumped + 500_000_000;
        }

        OptionalLong boot() {
            boolean unreadable =
                    bootClock == BootClock.MISSING || bootClock == BootClock.OFTEN_UNREADABLE && random.nextInt(4) == 0;
            return unreadable ? OptionalLong.empty() : OptionalLong.of((long) (boot / 10) * 10);
        }

        void pass(long millis) {
            now += millis;
            if (bootClock == BootClock.ERRATIC && random.nextInt(3) == 0) {
                bootRate = random.nextBoolean() ? 1 : 0.2 + 2.8 * random.nextDouble();
            }
            boot += bootClock == BootClock.STANDING ? 0 : millis * bootRate;
        }

        void suspend(long millis) {
            pass(millis);
            suspended += millis;
        }

        void jump(long millis) {
            jumped += millis;
        }

        Optional<ClockDisturbance> read() {
            if (time.isDisturbed(monotonic(), timeOfDay())) {
                return check();
            }
            time.follow(monotonic(), timeOfDay());
            return Optional.empty();
        }

        Optional<ClockDisturbance> check() {
            return time.onReading(monotonic(), timeOfDay(), boot());
        }

        void calm(long millis) {
            for (long passed = 0; passed < millis; passed += CHECK_MILLIS) {
                pass(CHECK_MILLIS);
                check();
            }
        }

        Moment moment() {
            return new Moment(monotonic() + time.certainSurplusMillis(), monotonic() + time.possibleSurplusMillis());
        }
    }

    /** A moment as told, and the true time. */
    private record Told(long now, Moment moment) {}

    private static void assertBracketed(Deque<Told> told, Machine machine) {
        Told last = new Told(machine.now, machine.moment());
        while (!told.isEmpty() && last.now() - told.peekFirst().now() > WINDOW_MILLIS) {
            told.pollFirst();
        }
        for (Told before : told) {
            long passed = last.now() - before.now();
            assertThat(last.moment().atMostMillis() - before.moment().atMostMillis())
                    .as("longest from %d to %d", before.now(), last.now())
                    .isGreaterThanOrEqualTo(passed - SLACK_MILLIS);
            assertThat(last.moment().atLeastMillis() - before.moment().atLeastMillis())
                    .as("shortest from %d to %d", before.now(), last.now())
                    .isLessThanOrEqualTo(passed + SLACK_MILLIS);
        }
        told.addLast(last);
    }

    /** Whatever the clock that counts suspensions does, what passes lies between the two times. */
    @Property(tries = 300)
    void whatPassesLiesBetweenShortestAndLongest(@ForAll BootClock bootClock, @ForAll long seed) {
        Machine machine = new Machine(bootClock, seed);
        Random random = new Random(seed + 1);
        Deque<Told> told = new ArrayDeque<>();
        for (int step = 0; step < 600; step++) {
            machine.pass(random.nextInt(300));
            int event = random.nextInt(40);
            if (event == 0) {
                machine.suspend(random.nextInt(9_000));
            } else if (event == 1) {
                machine.jump(random.nextInt(10_000) - 5_000);
            } else if (event == 2) {
                machine.suspend(random.nextInt(2 * (int) ElapsedTime.TOLERANCE_MILLIS));
            }
            if (step % 3 == 0) {
                machine.check();
            } else {
                machine.read();
            }
            assertBracketed(told, machine);
        }
    }

    /** Both were late by the suspension: they counted by the monotonic clock alone. */
    @ParameterizedTest
    @ValueSource(longs = {200, 6_000, 3_600_000})
    void suspensionThatTwoClocksShowIsCertain(long millis) {
        Machine machine = new Machine(BootClock.TRUE, 1);
        machine.calm(PROOF);
        Moment before = machine.moment();
        machine.suspend(millis);

        assertThat(machine.read()).map(ClockDisturbance::kind).contains(Kind.SUSPENDED);
        assertThat(machine.moment().atLeastMillis() - before.atLeastMillis()).isBetween(millis - 10, millis + 10);
        assertThat(machine.moment().atMostMillis() - before.atMostMillis()).isBetween(millis, millis + 10);
    }

    /** A relay that has just started, whose other clock is believed only as far as it agrees. */
    @Test
    void suspensionSoonAfterTheStartIsCertainToo() {
        Machine machine = new Machine(BootClock.TRUE, 1);
        machine.calm(BootClockTrust.CONFIRM_MILLIS + CHECK_MILLIS);
        machine.suspend(6_000);
        assertThat(machine.read()).map(ClockDisturbance::kind).contains(Kind.SUSPENDED);

        machine.jump(3_000);
        assertThat(machine.read()).map(ClockDisturbance::kind).contains(Kind.UNDECIDED);
    }

    @ParameterizedTest
    @EnumSource(names = {"MISSING", "FAST", "SLOW", "STANDING", "ERRATIC"})
    void suspensionThatTheTimeOfDayShowsAloneIsPossible(BootClock bootClock) {
        Machine machine = new Machine(bootClock, 1);
        machine.calm(PROOF);
        Moment before = machine.moment();
        machine.suspend(6_000);

        assertThat(machine.read()).map(ClockDisturbance::kind).contains(Kind.UNDECIDED);
        assertThat(machine.moment().atLeastMillis()).isEqualTo(before.atLeastMillis());
        assertThat(machine.moment().atMostMillis()).isEqualTo(before.atMostMillis() + 6_000);
    }

    /** A time of day that jumps and jumps back changes nothing where another clock contradicts it. */
    @ParameterizedTest
    @ValueSource(longs = {3_000, -3_000, 86_400_000})
    void jumpThatAnotherClockContradictsCountsAsNothing(long millis) {
        Machine machine = new Machine(BootClock.TRUE, 1);
        machine.calm(PROOF);
        Moment before = machine.moment();
        machine.jump(millis);
        Optional<ClockDisturbance> there = machine.read();
        machine.jump(-millis);
        Optional<ClockDisturbance> back = machine.read();

        assertThat(there).map(ClockDisturbance::kind).contains(Kind.TIME_OF_DAY_JUMPED);
        assertThat(back).map(ClockDisturbance::kind).contains(Kind.TIME_OF_DAY_JUMPED);
        assertThat(machine.moment()).isEqualTo(before);
    }

    /** A jump back hides a suspension from the time of day, wholly or in part. */
    @ParameterizedTest
    @CsvSource({"6000, -6000", "6000, -2000", "6000, -9000"})
    void suspensionThatAJumpHidesIsPossible(long suspended, long jumped) {
        Machine machine = new Machine(BootClock.TRUE, 1);
        machine.calm(PROOF);
        Moment before = machine.moment();
        machine.suspend(suspended);
        machine.jump(jumped);

        assertThat(machine.check()).map(ClockDisturbance::kind).contains(Kind.DISPUTED);
        assertThat(machine.moment().atLeastMillis()).isEqualTo(before.atLeastMillis());
        assertThat(machine.moment().atMostMillis())
                .isBetween(before.atMostMillis() + suspended - 10, before.atMostMillis() + suspended + 10);
    }

    /** Many suspensions, each shorter than any threshold. */
    @ParameterizedTest
    @EnumSource(names = {"TRUE", "MISSING"})
    void shortSuspensionsAddUp(BootClock bootClock) {
        Machine machine = new Machine(bootClock, 1);
        machine.calm(PROOF);
        Moment before = machine.moment();
        for (int count = 0; count < 1_000; count++) {
            machine.pass(100);
            machine.suspend(10);
            machine.read();
        }

        long counted = machine.moment().atMostMillis() - before.atMostMillis();
        assertThat(counted).isBetween(110_000L, 110_000L + 400);
        if (bootClock == BootClock.TRUE) {
            assertThat(machine.moment().atLeastMillis() - before.atLeastMillis())
                    .isBetween(110_000L - 400, 110_000L + 400);
        }
    }

    /** A time of day that runs fast by 200 in a million for weeks makes nothing late, and hardly anything early. */
    @Test
    void slowDriftOfTheTimeOfDayCountsAsLittle() {
        Machine machine = new Machine(BootClock.TRUE, 1);
        machine.calm(PROOF);
        Moment before = machine.moment();
        long minutes = 3 * 7 * 24 * 60;
        for (long minute = 0; minute < minutes; minute++) {
            machine.pass(60_000);
            machine.jump(12);
            machine.check();
        }

        assertThat(machine.moment().atLeastMillis() - before.atLeastMillis()).isEqualTo(minutes * 60_000);
        assertThat(machine.moment().atMostMillis() - before.atMostMillis())
                .isBetween(minutes * 60_000, minutes * (60_000 + 12) + 30);
    }

    /** A clock of another world, faster or slower than the process's, changed what counts as passed. */
    @Property(tries = 100)
    void clockThatIsOutOfStepIsNeverBelieved(@ForAll long seed) {
        for (BootClock bootClock : List.of(BootClock.FAST, BootClock.SLOW, BootClock.STANDING, BootClock.ERRATIC)) {
            Machine machine = new Machine(bootClock, seed);
            Moment before = machine.moment();
            for (int check = 0; check < 500; check++) {
                machine.pass(CHECK_MILLIS);
                machine.check();
                assertThat(machine.time.isBootClockBelieved(machine.monotonic()))
                        .isFalse();
            }

            assertThat(machine.moment().atLeastMillis()).isEqualTo(before.atLeastMillis() + 500 * CHECK_MILLIS);
            assertThat(machine.moment().atMostMillis()).isEqualTo(before.atMostMillis() + 500 * CHECK_MILLIS);
        }
    }

    /** One that was in step and leaves it does little harm before it is found out, and less each time. */
    @Test
    void clockThatLeavesItsStepIsFoundOutAtOnce() {
        Machine machine = new Machine(BootClock.FAST, 1);
        machine.bootRate = 1;
        machine.calm(PROOF);
        Moment before = machine.moment();
        machine.bootRate = 2;
        machine.calm(60_000);

        assertThat(machine.moment().atLeastMillis()).isEqualTo(before.atLeastMillis() + 60_000);
        assertThat(machine.moment().atMostMillis()).isEqualTo(before.atMostMillis() + 60_000 + CHECK_MILLIS);

        machine.bootRate = 1;
        machine.calm(PROOF);
        assertThat(machine.time.isBootClockBelieved(machine.monotonic())).isFalse();
        machine.calm(PROOF);
        assertThat(machine.time.isBootClockBelieved(machine.monotonic())).isTrue();
    }
}
