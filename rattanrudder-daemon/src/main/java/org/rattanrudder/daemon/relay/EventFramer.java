package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits an event stream at event boundaries, so that another target can resume it after the last complete event.
 *
 * <p>A target may fail in the middle of an event. If the partial event were forwarded, the resumed stream couldn't be
 * joined to it: the caller would receive a duplicate or an event mixed from two.
 */
final class EventFramer {
    private static final String ID = "id:";

    private final StringBuilder pending = new StringBuilder();
    private Optional<String> lastId = Optional.empty();

    /** Appends bytes of the stream and returns the events that are complete now. */
    byte[] append(ByteBuf chunk) {
        pending.append(chunk.toString(StandardCharsets.ISO_8859_1));
        int end = endOfLastEvent();
        if (end == 0) {
            return new byte[0];
        }
        String complete = pending.substring(0, end);
        pending.delete(0, end);
        recordLastId(complete);
        return complete.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Removes and returns the incomplete event. */
    byte[] takeRest() {
        byte[] rest = pending.toString().getBytes(StandardCharsets.ISO_8859_1);
        pending.setLength(0);
        return rest;
    }

    /** Returns whether an event is incomplete. */
    boolean isWithinEvent() {
        return pending.length() > 0;
    }

    /** Returns the ID of the last complete event that has one; empty before the first. */
    Optional<String> lastId() {
        return lastId;
    }

    private int endOfLastEvent() {
        int plain = pending.lastIndexOf("\n\n");
        int carriage = pending.lastIndexOf("\r\n\r\n");
        return Math.max(plain < 0 ? 0 : plain + 2, carriage < 0 ? 0 : carriage + 4);
    }

    private void recordLastId(String complete) {
        int start = complete.lastIndexOf("\n" + ID);
        int at = start >= 0 ? start + 1 : complete.startsWith(ID) ? 0 : -1;
        if (at < 0) {
            return;
        }
        int end = complete.indexOf('\n', at);
        lastId = Optional.of(complete.substring(at + ID.length(), end < 0 ? complete.length() : end)
                .trim());
    }
}
