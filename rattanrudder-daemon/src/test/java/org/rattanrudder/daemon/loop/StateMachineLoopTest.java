package org.rattanrudder.daemon.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.StateMachine;

class StateMachineLoopTest {
    private static final int SECONDS = 10;

    private final BlockingQueue<String> executed = new LinkedBlockingQueue<>();

    private String next() throws InterruptedException {
        return executed.poll(SECONDS, TimeUnit.SECONDS);
    }

    private static StateMachineLoop<String, String> loop(StateMachine<String, String> machine, int ringSize) {
        return new StateMachineLoop<>(machine, new ProcessClock(ClockSource.system())::eventTime, ringSize);
    }

    /** Guards against a machine that takes what waited while it was suspended for fresh. */
    @Test
    void eventsAreHandledAtTheTimeThatMayHavePassedInASuspension() throws Exception {
        MachineClocks clocks = new MachineClocks();
        StateMachine<String, String> machine =
                (event, now, effects) -> effects.accept(now.atLeastMicros() + " " + now.atMostMicros());
        try (StateMachineLoop<String, String> loop =
                new StateMachineLoop<>(machine, new ProcessClock(clocks)::eventTime, 4)) {
            loop.start(executed::add);
            clocks.pass(10);
            loop.publish("before");
            assertThat(next()).isEqualTo("10000 10000");
            clocks.suspend(6_000);
            loop.publish("after");
            assertThat(next()).isEqualTo("10000 6010000");
        }
    }

    @Test
    void eventsAreHandledInTheOrderOfPublication() throws Exception {
        try (StateMachineLoop<String, String> loop = loop((event, now, effects) -> effects.accept(event), 4)) {
            loop.start(executed::add);
            for (int index = 0; index < 100; index++) {
                loop.publish("event " + index);
            }
            for (int index = 0; index < 100; index++) {
                assertThat(next()).isEqualTo("event " + index);
            }
        }
    }

    /**
     * An effect that publishes an event while the ring is full must not deadlock the handler thread, which would wait
     * for a slot that only it can free. The process would handle nothing any more.
     */
    @Test
    void handlerThatPublishesToAFullRingDoesNotDeadlock() throws Exception {
        AtomicReference<StateMachineLoop<String, String>> self = new AtomicReference<>();
        CountDownLatch full = new CountDownLatch(1);
        try (StateMachineLoop<String, String> loop = loop((event, now, effects) -> effects.accept(event), 2)) {
            self.set(loop);
            loop.start(effect -> {
                executed.add(effect);
                if (effect.equals("first")) {
                    await(full);
                    self.get().publish("from the handler");
                }
            });
            loop.publish("first");
            loop.publish("second");
            full.countDown();

            assertThat(next()).isEqualTo("first");
            assertThat(next()).isEqualTo("from the handler");
            assertThat(next()).isEqualTo("second");
        }
    }

    /**
     * An exception in the state machine must not end the handler thread: the process would look healthy but handle no
     * further event.
     */
    @Test
    void failingEventDoesNotEndTheLoop() throws Exception {
        StateMachine<String, String> machine = (event, now, effects) -> {
            if (event.isEmpty()) {
                throw new IllegalStateException("expected in the test's log");
            }
            effects.accept(event);
        };
        try (StateMachineLoop<String, String> loop = loop(machine, 4)) {
            loop.start(executed::add);
            loop.publish("");
            loop.publish("next");

            assertThat(next()).isEqualTo("next");
        }
    }

    @Test
    void eventWhoseConditionIsFalseIsDropped() throws Exception {
        try (StateMachineLoop<String, String> loop = loop((event, now, effects) -> effects.accept(event), 4)) {
            loop.start(executed::add);
            loop.publish("dropped", () -> false);
            loop.publish("kept", () -> true);

            assertThat(next()).isEqualTo("kept");
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(SECONDS, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
