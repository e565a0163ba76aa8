package org.rattanrudder.core.admission;

import java.util.Map;
import java.util.TreeMap;

/**
 * Measures the work of each priority that is started at a target, as an exponentially decaying mean over some seconds.
 */
final class LoadMeter {
    private static final double TIME_CONSTANT_MICROS = 5_000_000;

    private final TreeMap<Integer, Rate> byPriority = new TreeMap<>();

    void onStarted(int priority, long costMicros, long nowMicros) {
        byPriority.computeIfAbsent(priority, each -> new Rate()).add(costMicros, nowMicros);
    }

    /** Returns how many slots requests more urgent than this occupy on average. */
    double slotsUsedByMoreUrgent(int priority, long nowMicros) {
        double slots = 0;
        for (Map.Entry<Integer, Rate> entry : byPriority.headMap(priority).entrySet()) {
            slots += entry.getValue().at(nowMicros);
        }
        return slots;
    }

    private static final class Rate {
        private double decayed;
        private long updatedMicros;

        void add(long costMicros, long nowMicros) {
            decayed = at(nowMicros) + costMicros / TIME_CONSTANT_MICROS;
            updatedMicros = nowMicros;
        }

        double at(long nowMicros) {
            return decayed * Math.exp((updatedMicros - nowMicros) / TIME_CONSTANT_MICROS);
        }
    }
}
