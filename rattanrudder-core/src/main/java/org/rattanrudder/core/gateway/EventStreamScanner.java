package org.rattanrudder.core.gateway;

import java.util.Optional;

/**
 * Follows an event stream byte by byte: tells where its events end, and from which event it can be resumed.
 *
 * <p>An event ends with an empty line. Lines end in LF, CRLF or CR, also mixed. A byte order mark at the start and
 * comment lines belong to no event.
 */
public final class EventStreamScanner {
    /** An ID of more bytes, with spaces around it, isn't used to resume a stream. */
    static final int MAX_ID_BYTES = 1_024;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final char FIRST_PRINTABLE = ' ';
    private static final char DELETE = 0x7F;
    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};
    private static final String ID = "id";
    private static final String DATA = "data";
    /** Bytes of a line that are kept to tell the field: the longest name of interest and its colon. */
    private static final int NAME_BYTES = DATA.length() + 1;

    private final StringBuilder field = new StringBuilder();
    private int markBytes;
    private boolean started;
    private Line line = Line.EMPTY;
    private boolean afterCarriageReturn;
    private boolean lineEndHeld;
    private boolean usesCrlf;
    private boolean hasFields;
    private boolean hasData;
    private boolean hasEvents;
    private Optional<String> eventId = Optional.empty();
    private Optional<String> lastId = Optional.empty();
    private boolean resumable = true;

    /** What the current line holds so far. */
    private enum Line {
        EMPTY,
        COMMENT,
        FIELD
    }

    /** Begins another response that continues the stream; what was read of an incomplete event is discarded. */
    public void restart() {
        field.setLength(0);
        markBytes = 0;
        started = false;
        line = Line.EMPTY;
        afterCarriageReturn = false;
        lineEndHeld = false;
        usesCrlf = false;
        hasEvents = false;
        clearEvent();
    }

    /** Reads the next byte. */
    public void accept(byte value) {
        if (!started && isByteOrderMark(value)) {
            return;
        }
        if (afterCarriageReturn) {
            afterCarriageReturn = false;
            usesCrlf |= value == LINE_FEED;
            endHeldLine();
            if (value == LINE_FEED) {
                return;
            }
        }
        if (value == LINE_FEED) {
            endLine();
        } else if (value == CARRIAGE_RETURN) {
            endLineWithCarriageReturn();
        } else {
            extendLine(value);
        }
    }

    /** Returns where the stream stands. */
    public BodyPosition position() {
        if (isWithinEvent()) {
            return BodyPosition.WITHIN_EVENT;
        }
        return hasEvents ? BodyPosition.BETWEEN_EVENTS : BodyPosition.BEFORE_FIRST_EVENT;
    }

    /** Returns whether the current response has brought a complete event. */
    public boolean hasEvents() {
        return hasEvents;
    }

    /** Returns whether an event, or a line, is incomplete. */
    public boolean isWithinEvent() {
        boolean partialMark = !started && markBytes > 0 && markBytes < BYTE_ORDER_MARK.length;
        return hasFields || line != Line.EMPTY || lineEndHeld || partialMark;
    }

    /** Returns the ID of the last complete event that has one, of all responses; empty before the first. */
    public Optional<String> lastId() {
        return lastId;
    }

    /**
     * Returns whether the ID tells where to resume: not if the last complete event has data and no ID, or one that
     * can't be sent in a header.
     */
    public boolean isResumable() {
        return resumable;
    }

    private boolean isByteOrderMark(byte value) {
        if (markBytes < BYTE_ORDER_MARK.length && value == BYTE_ORDER_MARK[markBytes]) {
            markBytes++;
            return true;
        }
        started = true;
        if (markBytes > 0 && markBytes < BYTE_ORDER_MARK.length) {
            line = Line.FIELD;
        }
        return false;
    }

    /**
     * Ends the line at a carriage return, unless a line feed is due: where lines have ended in CRLF, a stream that ends
     * between the two was cut there.
     */
    private void endLineWithCarriageReturn() {
        afterCarriageReturn = true;
        if (usesCrlf) {
            lineEndHeld = true;
        } else {
            endLine();
        }
    }

    private void endHeldLine() {
        if (lineEndHeld) {
            lineEndHeld = false;
            endLine();
        }
    }

    private void extendLine(byte value) {
        if (line == Line.EMPTY) {
            line = value == ':' ? Line.COMMENT : Line.FIELD;
        }
        if (line == Line.FIELD && (field.length() < NAME_BYTES || isIdOfBoundedLength())) {
            field.append((char) (value & 0xFF));
        }
    }

    private boolean isIdOfBoundedLength() {
        return field.charAt(0) == 'i' && isField(ID) && field.length() <= ID.length() + 1 + MAX_ID_BYTES;
    }

    private void endLine() {
        if (line == Line.EMPTY) {
            endEvent();
        } else if (line == Line.FIELD) {
            endField();
        }
        line = Line.EMPTY;
        field.setLength(0);
    }

    private void endField() {
        hasFields = true;
        hasData |= isField(DATA);
        if (isField(ID)) {
            String value = field.substring(Math.min(field.length(), ID.length() + 1));
            if (value.indexOf('\0') < 0) {
                eventId = Optional.of(value);
            }
        }
    }

    private boolean isField(String name) {
        int length = name.length();
        return field.indexOf(name) == 0 && (field.length() == length || field.charAt(length) == ':');
    }

    private void endEvent() {
        if (!hasFields) {
            return;
        }
        hasEvents = true;
        if (eventId.isPresent()) {
            // An ID beyond the bound is kept in part: its length is compared before spaces are taken off.
            String id =
                    eventId.get().length() > MAX_ID_BYTES ? "" : eventId.get().strip();
            resumable = isUsable(id);
            lastId = resumable ? Optional.of(id) : lastId;
        } else if (hasData) {
            resumable = false;
        }
        clearEvent();
    }

    private static boolean isUsable(String id) {
        return !id.isEmpty() && id.chars().noneMatch(each -> each < FIRST_PRINTABLE || each == DELETE);
    }

    private void clearEvent() {
        hasFields = false;
        hasData = false;
        eventId = Optional.empty();
    }
}
