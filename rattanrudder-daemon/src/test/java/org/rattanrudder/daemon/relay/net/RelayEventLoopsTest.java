package org.rattanrudder.daemon.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.rattanrudder.daemon.loop.MachineClocks;
import org.rattanrudder.daemon.loop.ProcessClock;

class RelayEventLoopsTest {
    private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);
    private static final long WAIT_SECONDS = 20;

    private final MachineClocks machine = new MachineClocks();
    private final ProcessClock clock = new ProcessClock(machine);
    private final List<Long> stalls = new CopyOnWriteArrayList<>();
    private final LoopTurns turns = new LoopTurns(stalls::add);
    private final RelayEventLoops group = new RelayEventLoops(clock, turns);
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void suspendForTwoHours() {
        for (int check = 0; check < 30; check++) {
            machine.pass(500);
            clock.check();
        }
        machine.suspend(2 * HOUR_MILLIS);
    }

    private void wake() {
        loop.execute(() -> {});
    }

    /** Withdrawals and deadlines ran late by as long as the machine was suspended. */
    @Test
    void timersAreDueWhenTheMachineResumes() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        loop.schedule(ran::countDown, HOUR_MILLIS, TimeUnit.MILLISECONDS);
        suspendForTwoHours();
        wake();

        assertThat(ran.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** A loop that counts by one clock and waits by another sleeps for too long after a suspension. */
    @Test
    void timersThatAreSetAfterwardsAreNotLate() throws InterruptedException {
        suspendForTwoHours();
        CountDownLatch ran = new CountDownLatch(1);
        loop.schedule(ran::countDown, 20, TimeUnit.MILLISECONDS);

        assertThat(ran.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** A check that a suspension made late waits for what connections hold unread, as after a pause. */
    @Test
    void inactivityTimerThatASuspensionMadeLateRunsAfterConnectionsWereRead() throws InterruptedException {
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch ran = new CountDownLatch(2);
        loop.execute(() -> {
            InactivityTimer.start(loop, () -> record(order, "check", ran), HOUR_MILLIS);
            loop.schedule(() -> record(order, "task", ran), HOUR_MILLIS, TimeUnit.MILLISECONDS);
            started.countDown();
        });
        assertThat(started.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        suspendForTwoHours();
        wake();

        assertThat(ran.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(order).containsExactly("task", "check");
    }

    private static void record(List<String> order, String what, CountDownLatch ran) {
        order.add(what);
        ran.countDown();
    }

    /** Guards against a loop that stands still for seconds while neither metrics nor log tell. */
    @Test
    void aLongTurnIsRecordedAndReported() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        loop.execute(() -> {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * LoopTurns.STALL_MILLIS);
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
        });
        // The next turn begins once the long one has been recorded.
        loop.schedule(ran::countDown, 4 * LoopTurns.STALL_MILLIS, TimeUnit.MILLISECONDS);

        assertThat(ran.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(turns.longestSeconds()).isGreaterThanOrEqualTo(2 * LoopTurns.STALL_MILLIS / 1_000.0);
        assertThat(stalls).hasSizeGreaterThanOrEqualTo(1).allMatch(millis -> millis >= LoopTurns.STALL_MILLIS);
    }
}
