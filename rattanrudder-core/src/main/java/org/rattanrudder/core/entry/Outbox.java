package org.rattanrudder.core.entry;

import java.util.List;
import java.util.function.Consumer;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;

/** Passes the effects of the entry's components to the consumer of the current event. */
final class Outbox {
    private Consumer<? super EntryEffect> effects = effect -> {};

    void bind(Consumer<? super EntryEffect> consumer) {
        effects = consumer;
    }

    void emit(EntryEffect effect) {
        effects.accept(effect);
    }

    void send(Address companion, Frame frame) {
        emit(new EntryEffect.SendFrame(companion, frame));
    }

    void logEvent(String event, String... fields) {
        emit(new EntryEffect.LogEvent(event, List.of(fields)));
    }
}
