package org.rattanrudder.core.companion;

import java.util.List;
import java.util.function.Consumer;

/**
 * The context in which one event is handled: its time and the receiver of effects.
 *
 * @param nowMicros the time of the event in microseconds
 * @param effects receives each effect, in order
 */
record EventContext(long nowMicros, Consumer<? super CompanionEffect> effects) {
    void emit(CompanionEffect effect) {
        effects.accept(effect);
    }

    void logEvent(String event, String... fields) {
        emit(new CompanionEffect.LogEvent(event, List.of(fields)));
    }
}
