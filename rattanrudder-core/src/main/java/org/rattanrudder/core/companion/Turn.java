package org.rattanrudder.core.companion;

import java.util.List;
import java.util.function.Consumer;

/**
 * One event's handling: its time, and where the effects go.
 *
 * @param nowMicros the time of the event in microseconds
 * @param effects takes each effect, in order
 */
record Turn(long nowMicros, Consumer<? super CompanionEffect> effects) {
    void ask(CompanionEffect effect) {
        effects.accept(effect);
    }

    void note(String event, String... fields) {
        ask(new CompanionEffect.LogEvent(event, List.of(fields)));
    }
}
