package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts an event stream at the ends of its events, so that another target can go on after the last whole one.
 *
 * <p>A target may stop in the middle of an event. Were that half passed on, the rest of the stream couldn't be joined
 * to it: the caller would get a piece twice, or joined from two.
 */
final class EventTail {
    private static final String ID = "id:";

    private final StringBuilder pending = new StringBuilder();
    private Optional<String> lastId = Optional.empty();

    /** Takes bytes of the stream and returns those of the events that are whole now. */
    byte[] take(ByteBuf piece) {
        pending.append(piece.toString(StandardCharsets.ISO_8859_1));
        int end = endOfLastEvent();
        if (end == 0) {
            return new byte[0];
        }
        String whole = pending.substring(0, end);
        pending.delete(0, end);
        noteIds(whole);
        return whole.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns what is left of an event that wasn't whole, and forgets it. */
    byte[] rest() {
        byte[] rest = pending.toString().getBytes(StandardCharsets.ISO_8859_1);
        pending.setLength(0);
        return rest;
    }

    /** Returns whether an event has begun and not ended. */
    boolean isWithinEvent() {
        return pending.length() > 0;
    }

    /** Returns the id of the last whole event; empty before the first. */
    Optional<String> lastId() {
        return lastId;
    }

    private int endOfLastEvent() {
        int plain = pending.lastIndexOf("\n\n");
        int carriage = pending.lastIndexOf("\r\n\r\n");
        return Math.max(plain < 0 ? 0 : plain + 2, carriage < 0 ? 0 : carriage + 4);
    }

    private void noteIds(String whole) {
        int start = whole.lastIndexOf("\n" + ID);
        int at = start >= 0 ? start + 1 : whole.startsWith(ID) ? 0 : -1;
        if (at < 0) {
            return;
        }
        int end = whole.indexOf('\n', at);
        lastId = Optional.of(whole.substring(at + ID.length(), end < 0 ? whole.length() : end)
                .trim());
    }
}
