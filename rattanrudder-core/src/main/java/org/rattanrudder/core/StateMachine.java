package org.rattanrudder.core;

import java.util.function.Consumer;

/**
 * A deterministic state machine: the same events at the same times give the same effects.
 *
 * <p>The daemon drives it from one handler thread; a test or a bench drives it from recorded events with a clock of its
 * own. It never blocks, reads no clock and starts no thread.
 *
 * <pre>{@code
 * List<EntryEffect> effects = new ArrayList<>();
 * machine.handle(new EntryEvent.Tick(), clock.nowMicros(), effects::add);
 * }</pre>
 *
 * @param <V> the events it takes
 * @param <F> the effects it asks for
 */
@FunctionalInterface
public interface StateMachine<V, F> {
    /**
     * Takes one event and passes on the effects that it calls for, in the order in which they are to be carried out.
     *
     * @param event what happened
     * @param nowMicros the time of the event in microseconds on the process's monotonic clock; never less than before
     * @param effects takes each effect
     */
    void handle(V event, long nowMicros, Consumer<? super F> effects);
}
