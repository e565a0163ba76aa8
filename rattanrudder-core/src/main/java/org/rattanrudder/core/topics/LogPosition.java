package org.rattanrudder.core.topics;

/**
 * A position in a topic of the platform's log.
 *
 * <p>The log may come back from an older copy and then gives out offsets a second time. Each return begins an era, and
 * all positions of an era are after those of the eras before it.
 *
 * @param era how often the log has come back, from 0
 * @param offset the offset in the topic
 */
public record LogPosition(long era, long offset) implements Comparable<LogPosition> {
    /** Before all records. */
    public static final LogPosition NONE = new LogPosition(0, -1);

    /** The beginning of a log that has never come back. */
    public static final LogPosition START = startOf(0);

    /** Returns the position of a topic's first record in an era. */
    public static LogPosition startOf(long era) {
        return new LogPosition(era, 0);
    }

    /** Returns the later one of two positions. */
    public static LogPosition latest(LogPosition first, LogPosition second) {
        return first.isBefore(second) ? second : first;
    }

    /** Returns the earlier one of two positions. */
    public static LogPosition earliest(LogPosition first, LogPosition second) {
        return first.isBefore(second) ? first : second;
    }

    /** Returns whether this position is before another one. */
    public boolean isBefore(LogPosition other) {
        return compareTo(other) < 0;
    }

    /** Returns whether this position is after another one. */
    public boolean isAfter(LogPosition other) {
        return compareTo(other) > 0;
    }

    /** Returns the position so many records further on. */
    public LogPosition plus(long records) {
        return new LogPosition(era, offset + records);
    }

    @Override
    public int compareTo(LogPosition other) {
        int byEra = Long.compare(era, other.era);
        return byEra != 0 ? byEra : Long.compare(offset, other.offset);
    }

    /** Returns the era and the offset, separated by a colon. */
    @Override
    public String toString() {
        return era + ":" + offset;
    }
}
