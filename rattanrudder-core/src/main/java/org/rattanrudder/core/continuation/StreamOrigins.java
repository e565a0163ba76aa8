package org.rattanrudder.core.continuation;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What one relay knows of the software that began streams, by its own responses and by peers.
 *
 * <p>It is bounded in number and time. What it has forgotten is unknown, and a stream of unknown origin isn't
 * continued: a loss costs continuations, never their correctness. All times are milliseconds of a monotonic clock.
 */
public final class StreamOrigins {
    /** At most so many streams are kept, which take a few MB; the oldest are forgotten first. */
    public static final int MAX_STREAMS = 32_768;

    /** No stream is kept for longer, whatever deadline its caller names. */
    public static final long MAX_KEPT_MILLIS = 600_000;

    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

    /** How a relay knows of a stream's beginning. */
    public enum Source {
        /** The first event passed through this relay. */
        OWN,
        /** A peer has told it. */
        TOLD
    }

    /**
     * What is known of a stream's beginning.
     *
     * @param origin the software that began it; empty if the stream is known and its software isn't, or if streams of
     *     different software have the same key
     * @param source how it is known
     * @param ageMillis how long ago it was learned
     * @param keptMillis how long it is still kept
     */
    public record Known(Optional<StreamOrigin> origin, Source source, long ageMillis, long keptMillis) {}

    private record Entry(Optional<StreamOrigin> origin, Source source, long learnedAt, long keptUntil) {
        Known known(long nowMillis) {
            return new Known(origin, source, nowMillis - learnedAt, keptUntil - nowMillis);
        }
    }

    /** Creates a memory that knows no stream. */
    public StreamOrigins() {}

    /**
     * Records what began a stream.
     *
     * @param origin the software; empty if it isn't known
     * @param keepMillis how long the stream's caller may still come back
     */
    public void record(StreamKey key, Optional<StreamOrigin> origin, Source source, long keepMillis, long nowMillis) {
        removeExpired(nowMillis);
        long keptUntil = nowMillis + Math.min(keepMillis, MAX_KEPT_MILLIS);
        Entry before = entries.remove(key);
        if (before == null || before.keptUntil() < nowMillis) {
            entries.put(key, new Entry(origin, source, nowMillis, keptUntil));
        } else {
            Optional<StreamOrigin> agreed = before.origin().equals(origin) ? origin : Optional.empty();
            entries.put(
                    key,
                    new Entry(agreed, before.source(), before.learnedAt(), Math.max(before.keptUntil(), keptUntil)));
        }
        if (entries.size() > MAX_STREAMS) {
            removeEldest();
        }
    }

    /** Returns what is known of a stream; empty if nothing is. */
    public Optional<Known> find(StreamKey key, long nowMillis) {
        return Optional.ofNullable(entries.get(key))
                .filter(entry -> entry.keptUntil() >= nowMillis)
                .map(entry -> entry.known(nowMillis));
    }

    /** Returns how many streams are kept. */
    public int size() {
        return entries.size();
    }

    /** Forgets streams whose callers no longer come back; those recorded before a longer-lived one stay until then. */
    private void removeExpired(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && oldest.next().keptUntil() < nowMillis) {
            oldest.remove();
        }
    }

    private void removeEldest() {
        Iterator<Entry> oldest = entries.values().iterator();
        oldest.next();
        oldest.remove();
    }
}
