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
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.rattanrudder.core.StateMachine;
import org.rattanrudder.core.time.EventTime;

/**
 * The event loop of a process: I/O threads publish events to a ring buffer; a single handler thread passes them to the
 * state machine and executes the resulting effects.
 *
 * <pre>{@code
 * StateMachineLoop<EntryEvent, EntryEffect> loop =
 *         new StateMachineLoop<>(machine, clock::eventTime, StateMachineLoop.RING_SIZE);
 * loop.start(effects);
 * loop.publish(new EntryEvent.Tick());
 * }</pre>
 *
 * @param <V> the state machine's events
 * @param <F> the state machine's effects
 */
public final class StateMachineLoop<V, F> implements AutoCloseable {
    /** The capacity of a process's ring buffer, in events. */
    public static final int RING_SIZE = 4_096;
    /** The interval at which a process publishes ticks. */
    public static final long TICK_INTERVAL_MILLIS = 50;

    private static final Logger LOG = Logger.getLogger(StateMachineLoop.class);
    private static final long CLOSE_TIMEOUT_SECONDS = 2;
    private static final BooleanSupplier ALWAYS = () -> true;

    private final StateMachine<V, F> machine;
    private final Supplier<EventTime> clock;
    private final Disruptor<Slot<V>> disruptor;
    private final RingBuffer<Slot<V>> ring;
    private final Queue<V> handlerEvents = new ArrayDeque<>();
    private volatile Thread handlerThread;
    private Consumer<? super F> effects;

    /**
     * Creates a loop; it handles events from {@link #start} on.
     *
     * @param machine the state machine; from now on only the handler thread may access it
     * @param clock returns the time at which an event is handled
     * @param ringSize the capacity in events, a power of two
     */
    public StateMachineLoop(StateMachine<V, F> machine, Supplier<EventTime> clock, int ringSize) {
        this.machine = machine;
        this.clock = clock;
        // The blocking strategy costs a wake-up when an event arrives at an idle handler, but uses no CPU while idle;
        // spinning and yielding occupy a whole core. docs/design/processes.md has the figures.
        disruptor = new Disruptor<>(
                Slot::new, ringSize, DaemonThreadFactory.INSTANCE, ProducerType.MULTI, new BlockingWaitStrategy());
        ring = disruptor.getRingBuffer();
    }

    /**
     * Starts handling events.
     *
     * @param executor executes each effect on the handler thread; must not block
     */
    public void start(Consumer<? super F> executor) {
        effects = executor;
        EventHandler<Slot<V>> handler = (slot, sequence, endOfBatch) -> handle(slot);
        disruptor.handleEventsWith(handler);
        disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler());
        disruptor.start();
    }

    /** Publishes an event; blocks while the ring is full, as back-pressure of a busy handler on I/O threads. */
    public void publish(V event) {
        publish(event, ALWAYS);
    }

    /**
     * Publishes an event that is dropped if the condition is false when the event is handled, such as a frame of a link
     * that has been closed in the meantime.
     */
    public void publish(V event, BooleanSupplier condition) {
        if (Thread.currentThread() == handlerThread) {
            // Only this thread frees slots of the ring, so waiting for one here would deadlock.
            handlerEvents.add(event);
            return;
        }
        ring.publishEvent((slot, sequence) -> slot.set(event, condition));
    }

    /** Publishes an event unless the ring is full; for events such as ticks, which are repeated anyway. */
    public void tryPublish(V event) {
        ring.tryPublishEvent((slot, sequence) -> slot.set(event, ALWAYS));
    }

    /** Returns the number of queued events, for metrics. */
    public long pendingEvents() {
        return ring.getBufferSize() - ring.remainingCapacity();
    }

    /** Handles the events that were published and stops the handler thread. */
    @Override
    public void close() {
        try {
            disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException late) {
            LOG.warn("event=ring_not_empty_at_end");
            disruptor.halt();
        }
    }

    private void handle(Slot<V> slot) {
        handlerThread = Thread.currentThread();
        V event = slot.event;
        BooleanSupplier condition = slot.condition;
        slot.set(null, ALWAYS);
        if (!condition.getAsBoolean()) {
            return;
        }
        for (V next = event; next != null; next = handlerEvents.poll()) {
            machine.handle(next, clock.get(), effects);
        }
    }

    /** A slot of the ring buffer. */
    private static final class Slot<V> {
        private V event;
        private BooleanSupplier condition = ALWAYS;

        void set(V newEvent, BooleanSupplier condition) {
            event = newEvent;
            this.condition = condition;
        }
    }

    /** Logs a failure in a machine or an effect and continues: without the handler thread, all would hang. */
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
