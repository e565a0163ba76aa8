package org.rattanrudder.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The measured times of one target: how long requests of each class occupy a slot, and when their first byte arrives.
 */
final class ServiceTimes {
    /** Assumed until a request has been measured. */
    static final long INITIAL_ESTIMATE_MICROS = 100_000;

    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<String, Measured> byClass = new HashMap<>();
    private final Measured overall = new Measured();

    /** Returns how long a request of the class is expected to occupy its slot. */
    long costMicros(String requestClass) {
        Measured measured = byClass.getOrDefault(requestClass, overall);
        return Math.max(1, Math.round(measured.heldKnown ? measured.held : overall.held));
    }

    /** Returns how long a request of any class is expected to occupy its slot. */
    long costMicros() {
        return Math.max(1, Math.round(overall.held));
    }

    /**
     * Returns the time from the start of a request of the class within which its first byte arrives in most cases.
     */
    long firstByteMicros(String requestClass) {
        Measured measured = byClass.get(requestClass);
        return measured == null ? 0 : Math.round(measured.firstByte + 2 * measured.deviation);
    }

    void recordHeld(String requestClass, long micros) {
        of(requestClass).held(micros);
        overall.held(micros);
    }

    void recordFirstByte(String requestClass, long micros) {
        of(requestClass).firstByte(micros);
    }

    private Measured of(String requestClass) {
        return byClass.computeIfAbsent(requestClass, name -> new Measured());
    }

    private static final class Measured {
        private double held = INITIAL_ESTIMATE_MICROS;
        private boolean heldKnown;
        private double firstByte;
        private double deviation;
        private boolean firstByteKnown;

        void held(long micros) {
            held = heldKnown ? held + SMOOTHING_FACTOR * (micros - held) : micros;
            heldKnown = true;
        }

        void firstByte(long micros) {
            if (!firstByteKnown) {
                firstByteKnown = true;
                firstByte = micros;
                return;
            }
            double error = micros - firstByte;
            firstByte += SMOOTHING_FACTOR * error;
            deviation += SMOOTHING_FACTOR * (Math.abs(error) - deviation);
        }
    }
}
