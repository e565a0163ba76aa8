package org.rattanrudder.core.companion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanrudder.core.frame.Frame;

/** The open links from entries to this companion. */
final class Links {
    /** Time without a frame after which a link counts as dead. */
    static final long IDLE_TIMEOUT_MICROS = 3_000_000;

    private final Map<Long, Link> links = new HashMap<>();

    /** Adds a link. Returns the older link of the same entry that it replaces, if there is one. */
    Optional<Long> open(long number, Frame.Hello hello, long nowMicros) {
        Optional<Long> older = links.values().stream()
                .filter(link -> link.hello.incarnation() == hello.incarnation())
                .map(link -> link.number)
                .findFirst();
        older.ifPresent(links::remove);
        links.put(number, new Link(number, hello, nowMicros));
        return older;
    }

    void close(long number) {
        links.remove(number);
    }

    /** Records that a frame arrived; returns whether the link is open. */
    boolean onFrame(long number, long nowMicros) {
        Link link = links.get(number);
        if (link == null) {
            return false;
        }
        link.lastFrameMicros = nowMicros;
        return true;
    }

    /** Returns whether the link belongs to the entry of this incarnation. */
    boolean belongsTo(long number, long entryIncarnation) {
        Link link = links.get(number);
        return link != null && link.hello.incarnation() == entryIncarnation;
    }

    /**
     * Removes the links whose idle timeout has expired, and returns them.
     *
     * <p>A connection whose state a device in between has lost stays open without ever delivering a frame. Entries send
     * a heartbeat every second, so three seconds without one indicate such a link, and the entry opens another.
     */
    List<Long> removeIdle(long nowMicros) {
        List<Long> idle = links.values().stream()
                .filter(link -> nowMicros - link.lastFrameMicros >= IDLE_TIMEOUT_MICROS)
                .map(link -> link.number)
                .sorted()
                .toList();
        idle.forEach(links::remove);
        return idle;
    }

    /** Returns the sequence number of the next heartbeat on a link. */
    long nextHeartbeat(long number) {
        return links.get(number).heartbeats++;
    }

    /** Returns the numbers of all links, in the order in which they were opened. */
    List<Long> all() {
        List<Long> numbers = new ArrayList<>(links.keySet());
        numbers.sort(null);
        return numbers;
    }

    private static final class Link {
        private final long number;
        private final Frame.Hello hello;
        private long lastFrameMicros;
        private long heartbeats;

        Link(long number, Frame.Hello hello, long nowMicros) {
            this.number = number;
            this.hello = hello;
            this.lastFrameMicros = nowMicros;
        }
    }
}
