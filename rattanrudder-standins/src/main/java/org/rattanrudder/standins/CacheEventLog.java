package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.model.Digest;

/** An engine's cache events: they show late, some are lost, and only the latest are kept. */
final class CacheEventLog {
    private static final int MOST_KEPT = 10_000;

    private final long delayNanos;
    private final int gapEvery;
    private final Deque<Event> kept = new ArrayDeque<>();
    private long next = 1;

    CacheEventLog(long delayMillis, int gapEvery) {
        delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
        this.gapEvery = gapEvery;
    }

    synchronized void add(Digest block, boolean stored) {
        long sequence = next++;
        if (gapEvery > 0 && sequence % gapEvery == 0) {
            return;
        }
        kept.add(new Event(sequence, System.nanoTime(), block, stored));
        if (kept.size() > MOST_KEPT) {
            kept.remove();
        }
    }

    synchronized Reply report(long after) {
        ObjectNode report = Json.object();
        ArrayNode listed = report.putArray("events");
        long visible = System.nanoTime() - delayNanos;
        long last = after;
        for (Event event : kept) {
            if (event.atNanos() - visible > 0) {
                break;
            }
            last = Math.max(last, event.sequence());
            if (event.sequence() > after) {
                listed.addObject()
                        .put("sequence", event.sequence())
                        .put("kind", event.stored() ? "stored" : "freed")
                        .put("block", event.block().toHex());
            }
        }
        report.put("last", last);
        report.put("first", kept.isEmpty() ? next : kept.peek().sequence());
        return Reply.json(200, report);
    }

    /**
     * One event.
     *
     * @param sequence its number
     * @param atNanos when it happened
     * @param block the block
     * @param stored whether it was stored, or else freed
     */
    private record Event(long sequence, long atNanos, Digest block, boolean stored) {}
}
