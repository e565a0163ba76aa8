package org.rattanrudder.core.topics;

/** Positions of a log that has never come back from a copy. */
public final class TestPositions {
    private TestPositions() {}

    /** Returns the position of an offset. */
    public static LogPosition position(long offset) {
        return new LogPosition(0, offset);
    }
}
