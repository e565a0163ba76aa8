package org.rattanrudder.daemon.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.StateMachine;

class MachineLoopTest {
    private static final int SECONDS = 10;

    private final BlockingQueue<String> carriedOut = new LinkedBlockingQueue<>();

    private String next() throws InterruptedException {
        return carriedOut.poll(SECONDS, TimeUnit.SECONDS);
    }

    private static MachineLoop<String, String> loop(StateMachine<String, String> machine, int ringSize) {
        return new MachineLoop<>(machine, new MonotonicClock(), ringSize);
    }

    @Test
    void eventsAreHandledInTheOrderOfPublication() throws Exception {
        try (MachineLoop<String, String> loop = loop((event, now, effects) -> effects.accept(event), 4)) {
            loop.start(carriedOut::add);
            for (int index = 0; index < 100; index++) {
                loop.publish("event " + index);
            }
            for (int index = 0; index < 100; index++) {
                assertThat(next()).isEqualTo("event " + index);
            }
        }
    }

    /**
     * The process stops for good under load: nothing is handled any more.
     * The ring is full, and carrying out an effect publishes an event. Cause: the handler thread waits for a place that
     * only it can free.
     */
    @Test
    void handlerThatPublishesIntoAFullRingGoesOn() throws Exception {
        AtomicReference<MachineLoop<String, String>> self = new AtomicReference<>();
        CountDownLatch full = new CountDownLatch(1);
        try (MachineLoop<String, String> loop = loop((event, now, effects) -> effects.accept(event), 2)) {
            self.set(loop);
            loop.start(effect -> {
                carriedOut.add(effect);
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
     * One malformed event ends the process's work, though the process lives and looks healthy.
     * Cause: an exception in the machine ends the handler thread.
     */
    @Test
    void eventThatFailsDoesNotEndTheLoop() throws Exception {
        StateMachine<String, String> machine = (event, now, effects) -> {
            if (event.isEmpty()) {
                throw new IllegalStateException("seen in the test's log");
            }
            effects.accept(event);
        };
        try (MachineLoop<String, String> loop = loop(machine, 4)) {
            loop.start(carriedOut::add);
            loop.publish("");
            loop.publish("next");

            assertThat(next()).isEqualTo("next");
        }
    }

    @Test
    void eventThatIsNoLongerWantedIsDropped() throws Exception {
        try (MachineLoop<String, String> loop = loop((event, now, effects) -> effects.accept(event), 4)) {
            loop.start(carriedOut::add);
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
