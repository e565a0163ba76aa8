package org.rattanrudder.core.entry;

import java.util.List;
import java.util.function.Consumer;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;

/** Where the parts of the machine put their effects; bound to the caller's consumer for the time of one event. */
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

    void note(String event, String... fields) {
        emit(new EntryEffect.LogEvent(event, List.of(fields)));
    }
}
