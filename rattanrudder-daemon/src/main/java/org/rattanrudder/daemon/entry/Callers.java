package org.rattanrudder.daemon.entry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.rattanrudder.core.entry.EntryEvent;

/** The callers whose answers are under way, by the sequence of their requests. */
final class Callers implements CallerEvents {
    private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();
    private final AtomicLong lastSequence = new AtomicLong();
    private final Consumer<EntryEvent> publish;

    Callers(Consumer<EntryEvent> publish) {
        this.publish = publish;
    }

    long nextSequence() {
        return lastSequence.incrementAndGet();
    }

    void add(long sequence, CallerExchange exchange) {
        exchanges.put(sequence, exchange);
    }

    Optional<CallerExchange> find(long sequence) {
        return Optional.ofNullable(exchanges.get(sequence));
    }

    int count() {
        return exchanges.size();
    }

    @Override
    public void took(long sequence, int chunks) {
        publish.accept(new EntryEvent.ChunksWritten(sequence, chunks));
    }

    @Override
    public void gone(long sequence) {
        publish.accept(new EntryEvent.CallerDisconnected(sequence));
    }

    @Override
    public void ended(long sequence) {
        exchanges.remove(sequence);
    }
}
