package org.rattanrudder.core.companion;

import java.util.List;
import java.util.function.Consumer;
import org.rattanrudder.core.time.EventTime;

/**
 * The context in which one event is handled: its time and the receiver of effects.
 *
 * @param now the time of the event
 * @param effects receives each effect, in order
 */
record EventContext(EventTime now, Consumer<? super CompanionEffect> effects) {
    /** Returns the shortest time that may have passed, in microseconds. */
    long nowMicros() {
        return now.atLeastMicros();
    }

    void emit(CompanionEffect effect) {
        effects.accept(effect);
    }

    void logEvent(String event, String... fields) {
        emit(new CompanionEffect.LogEvent(event, List.of(fields)));
    }
}
