package org.rattanrudder.daemon.loop;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import com.lmax.disruptor.util.DaemonThreadFactory;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.rattanrudder.core.StateMachine;

/**
 * The ring of a process: I/O threads publish events, one handler thread gives them to the machine and carries out the
 * effects.
 *
 * <pre>{@code
 * MachineLoop<EntryEvent, EntryEffect> loop = new MachineLoop<>(machine, clock, MachineLoop.RING_SIZE);
 * loop.start(effects::carryOut);
 * loop.publish(new EntryEvent.Tick());
 * }</pre>
 *
 * @param <V> the machine's events
 * @param <F> the machine's effects
 */
public final class MachineLoop<V, F> implements AutoCloseable {
    /** How many events may wait in the ring of a process. */
    public static final int RING_SIZE = 4_096;
    /** How often a process publishes a tick, in milliseconds. */
    public static final long TICK_MILLIS = 50;

    private static final Logger LOG = Logger.getLogger(MachineLoop.class);
    private static final long CLOSE_SECONDS = 2;
    private static final BooleanSupplier ALWAYS = () -> true;

    private final StateMachine<V, F> machine;
    private final LongSupplier clock;
    private final Disruptor<Slot<V>> disruptor;
    private final RingBuffer<Slot<V>> ring;
    private final Queue<V> fromHandler = new ArrayDeque<>();
    private volatile Thread handlerThread;
    private Consumer<? super F> effects;

    /**
     * Makes a loop that doesn't run yet.
     *
     * @param machine the machine, from now on touched by the handler thread alone
     * @param clock the machine's time in microseconds
     * @param ringSize how many events may wait, a power of two
     */
    public MachineLoop(StateMachine<V, F> machine, LongSupplier clock, int ringSize) {
        this.machine = machine;
        this.clock = clock;
        // A blocking wait costs a wake-up for an event that finds the handler idle, but no processor time while idle;
        // spinning and yielding take a whole core. docs/design/processes.md has the figures.
        disruptor = new Disruptor<>(
                Slot::new, ringSize, DaemonThreadFactory.INSTANCE, ProducerType.MULTI, new BlockingWaitStrategy());
        ring = disruptor.getRingBuffer();
    }

    /**
     * Begins to handle events.
     *
     * @param carryOut carries out each effect, on the handler thread; must not block
     */
    public void start(Consumer<? super F> carryOut) {
        effects = carryOut;
        EventHandler<Slot<V>> handler = (slot, sequence, endOfBatch) -> handle(slot);
        disruptor.handleEventsWith(handler);
        disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler());
        disruptor.start();
    }

    /** Publishes an event; waits while the ring is full, which is how a busy handler slows down its I/O threads. */
    public void publish(V event) {
        publish(event, ALWAYS);
    }

    /**
     * Publishes an event that is dropped if it is no longer wanted when its turn comes, such as a frame of a link that
     * was closed meanwhile.
     */
    public void publish(V event, BooleanSupplier stillWanted) {
        if (Thread.currentThread() == handlerThread) {
            // Waiting for a place in the ring here would wait for this very thread.
            fromHandler.add(event);
            return;
        }
        ring.publishEvent((slot, sequence) -> slot.set(event, stillWanted));
    }

    /** Publishes an event unless the ring is full, for events such as ticks that will come again. */
    public void offer(V event) {
        ring.tryPublishEvent((slot, sequence) -> slot.set(event, ALWAYS));
    }

    /** Returns how many events wait, for metrics. */
    public long waiting() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /** Handles what was published and ends the handler thread. */
    @Override
    public void close() {
        try {
            disruptor.shutdown(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException late) {
            LOG.warn("event=ring_not_empty_at_end");
            disruptor.halt();
        }
    }

    private void handle(Slot<V> slot) {
        handlerThread = Thread.currentThread();
        V event = slot.event;
        BooleanSupplier wanted = slot.wanted;
        slot.set(null, ALWAYS);
        if (!wanted.getAsBoolean()) {
            return;
        }
        for (V next = event; next != null; next = fromHandler.poll()) {
            machine.handle(next, clock.getAsLong(), effects);
        }
    }

    /** One place in the ring. */
    private static final class Slot<V> {
        private V event;
        private BooleanSupplier wanted = ALWAYS;

        void set(V newEvent, BooleanSupplier stillWanted) {
            event = newEvent;
            wanted = stillWanted;
        }
    }

    /** Shows a fault in a machine or an adapter, and goes on: without a handler thread all would hang for good. */
    private final class LoggingExceptionHandler implements ExceptionHandler<Slot<V>> {
        @Override
        public void handleEventException(Throwable failure, long sequence, Slot<V> slot) {
            LOG.errorf(failure, "event=handler_failed");
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            LOG.errorf(failure, "event=handler_start_failed");
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            LOG.errorf(failure, "event=handler_stop_failed");
        }
    }
}
