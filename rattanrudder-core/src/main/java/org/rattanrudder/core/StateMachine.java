package org.rattanrudder.core;

import java.util.function.Consumer;
import org.rattanrudder.core.time.EventTime;

/**
 * A deterministic state machine: the same events at the same times produce the same effects.
 *
 * <p>The daemon runs it on a single handler thread; tests and benchmarks run it on recorded events with a simulated
 * clock. It never blocks, reads no clock and starts no thread.
 *
 * <pre>{@code
 * List<EntryEffect> effects = new ArrayList<>();
 * machine.handle(new EntryEvent.Tick(), clock.now(), effects::add);
 * }</pre>
 *
 * @param <V> the type of the events that it handles
 * @param <F> the type of the effects that it requests
 */
@FunctionalInterface
public interface StateMachine<V, F> {
    /**
     * Handles one event and emits the effects to carry out, in order.
     *
     * @param event the event
     * @param now the time of the event since some start of the process; never decreases
     * @param effects receives each effect
     */
    void handle(V event, EventTime now, Consumer<? super F> effects);

    /** Handles one event at a time of which no part is in doubt, in microseconds. */
    default void handle(V event, long nowMicros, Consumer<? super F> effects) {
        handle(event, EventTime.certain(nowMicros), effects);
    }
}
