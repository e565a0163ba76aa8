package org.rattanrudder.core.entry;

import java.util.HashMap;
import java.util.Map;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;

/**
 * Tracks the rate of requests that all entries together admit for each customer, from the companions' counters.
 *
 * <p>A companion's counters only increase during one incarnation. The difference between two heartbeats is the number
 * of requests in between, so that a lost heartbeat loses no counts.
 */
final class CustomerUsage {
    private static final long WINDOW_MICROS = 1_000_000;
    private static final double SMOOTHING_WEIGHT = 0.5;
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final Map<Address, Map<Long, Long>> counts = new HashMap<>();
    private final Map<Address, Long> incarnations = new HashMap<>();
    private final Map<Long, RateMeter> meters = new HashMap<>();

    /** A smoothed rate over the last few seconds. */
    private static final class RateMeter {
        private long requests;
        private long sinceMicros;
        private double perSecond;

        RateMeter(long nowMicros) {
            sinceMicros = nowMicros;
        }

        void update(long nowMicros) {
            long elapsedMicros = nowMicros - sinceMicros;
            if (elapsedMicros >= WINDOW_MICROS) {
                perSecond += (requests * MICROS_PER_SECOND / elapsedMicros - perSecond) * SMOOTHING_WEIGHT;
                requests = 0;
                sinceMicros = nowMicros;
            }
        }
    }

    /** Adds the increase of the companion's counters since its previous heartbeat. */
    void onHeartbeat(Address companion, Frame.Heartbeat heartbeat, long nowMicros) {
        Long incarnation = incarnations.put(companion, heartbeat.incarnation());
        if (incarnation == null || incarnation != heartbeat.incarnation()) {
            counts.remove(companion);
        }
        Map<Long, Long> before = counts.computeIfAbsent(companion, address -> new HashMap<>());
        for (Frame.CustomerCount count : heartbeat.customers()) {
            Long last = before.put(count.customer(), count.taken());
            if (last != null && count.taken() > last) {
                meter(count.customer(), nowMicros).requests += count.taken() - last;
            }
        }
    }

    void remove(Address companion) {
        counts.remove(companion);
        incarnations.remove(companion);
    }

    /** Returns the requests a second that all entries admit for the customer. */
    double requestsPerSecond(long customer, long nowMicros) {
        RateMeter meter = meter(customer, nowMicros);
        meter.update(nowMicros);
        return meter.perSecond;
    }

    private RateMeter meter(long customer, long nowMicros) {
        return meters.computeIfAbsent(customer, hash -> new RateMeter(nowMicros));
    }
}
