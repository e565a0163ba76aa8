package org.rattanrudder.core;

import java.util.function.Consumer;

/**
 * A deterministic state machine: the same events at the same times produce the same effects.
 *
 * <p>The daemon runs it on a single handler thread; tests and benchmarks run it on recorded events with a simulated
 * clock. It never blocks, reads no clock and starts no thread.
 *
 * <pre>{@code
 * List<EntryEffect> effects = new ArrayList<>();
 * machine.handle(new EntryEvent.Tick(), clock.nowMicros(), effects::add);
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
     * @param nowMicros the time of the event in microseconds on the process's monotonic clock; never decreases
     * @param effects receives each effect
     */
    void handle(V event, long nowMicros, Consumer<? super F> effects);
}
