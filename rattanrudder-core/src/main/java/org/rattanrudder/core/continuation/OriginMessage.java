package org.rattanrudder.core.continuation;

import java.util.List;
import java.util.Optional;

/**
 * What relays tell each other of the beginnings of streams.
 *
 * @param told streams whose beginning the sender knows
 * @param asked streams whose beginning the sender wants to know
 * @param unknown streams that the sender was asked for and doesn't know
 */
public record OriginMessage(List<Told> told, List<StreamKey> asked, List<StreamKey> unknown) {
    public OriginMessage {
        told = List.copyOf(told);
        asked = List.copyOf(asked);
        unknown = List.copyOf(unknown);
    }

    /**
     * A stream whose beginning is known.
     *
     * @param key the stream
     * @param origin the software that began it; empty if it isn't known which
     * @param keepMillis how long its caller may still come back
     */
    public record Told(StreamKey key, Optional<StreamOrigin> origin, long keepMillis) {}

    /** Creates a message that tells what began streams. */
    public static OriginMessage telling(List<Told> told) {
        return new OriginMessage(told, List.of(), List.of());
    }

    /** Creates a message that asks what began a stream. */
    public static OriginMessage asking(StreamKey key) {
        return new OriginMessage(List.of(), List.of(key), List.of());
    }
}
