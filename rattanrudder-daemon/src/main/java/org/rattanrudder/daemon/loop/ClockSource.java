package org.rattanrudder.daemon.loop;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** The clocks of a machine; a test replaces them. */
public interface ClockSource {
    /** Returns the time of the monotonic clock, in ns: it doesn't count the time for which the machine is suspended. */
    long monotonicNanos();

    /** Returns the time of day, in ms. */
    long timeOfDayMillis();

    /** Returns the time of the clock that counts suspensions, in ms; empty if it can't be read. */
    OptionalLong bootMillis();

    /** Returns the clocks of this machine. */
    static ClockSource system() {
        return new SystemClocks();
    }

    /** The clocks that Java reads, and the one that Linux tells in a file. */
    final class SystemClocks implements ClockSource {
        private static final String UPTIME = "/proc/uptime";
        private static final int MAX_BYTES = 64;
        private static final double MILLIS_PER_SECOND = 1_000;

        private SystemClocks() {}

        @Override
        public long monotonicNanos() {
            return System.nanoTime();
        }

        @Override
        public long timeOfDayMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public OptionalLong bootMillis() {
            try (FileInputStream file = new FileInputStream(UPTIME)) {
                String text = new String(file.readNBytes(MAX_BYTES), StandardCharsets.US_ASCII);
                String uptime = text.substring(0, Math.max(0, text.indexOf(' ')));
                return OptionalLong.of(Math.round(Double.parseDouble(uptime) * MILLIS_PER_SECOND));
            } catch (IOException | NumberFormatException unreadable) {
                return OptionalLong.empty();
            }
        }
    }
}
