package org.rattanrudder.core.entry;

import java.util.HashMap;
import java.util.Map;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.model.CustomerName;

/**
 * Limits each customer of a service to its rate, which applies to all entries together.
 *
 * <p>There is no shared store. Each entry always admits up to its even share: the rate divided by the number of entries
 * that companions report. Since load balancers distribute connections rather than requests, all requests of a
 * customer may arrive at one entry. Each entry therefore also admits up to its proportional share: the rate times the
 * requests that it admitted lately, divided by those that all entries admitted by the companions' counts. The
 * proportional shares add up to the rate. When an entry starts to use its even share again, the proportional shares of
 * the others shrink within seconds.
 */
final class CustomerLimits {
    /** Burst size, as the number of seconds at the entry's share of the rate. */
    static final double BURST_SECONDS = 2;

    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final long WINDOW_MICROS = 1_000_000;
    private static final double SMOOTHING_WEIGHT = 0.5;
    private static final double MIN_REPORTED_SHARE = 0.5;

    private final Map<CustomerName, TokenBucket> buckets = new HashMap<>();

    /**
     * Admits one request if the customer's rate limit allows it.
     *
     * @param entries number of entries that share the rate, from 1
     * @param totalPerSecond requests a second that all entries admitted lately
     * @return 0 if the request is admitted, else the time in microseconds until one more is allowed
     */
    long admit(CustomerSettings customer, int entries, double totalPerSecond, long nowMicros) {
        if (customer.requestsPerSecond() <= 0) {
            return 0;
        }
        double evenRate = customer.requestsPerSecond() / Math.max(1, entries);
        TokenBucket bucket = buckets.computeIfAbsent(customer.name(), name -> new TokenBucket(evenRate, nowMicros));
        bucket.updateRate(customer.requestsPerSecond(), evenRate, totalPerSecond, nowMicros);
        return bucket.take(nowMicros);
    }

    /** One customer's token bucket, which is refilled at this entry's share of the rate. */
    private static final class TokenBucket {
        private double ratePerSecond;
        private double tokens;
        private long filledMicros;
        private double ownPerSecond;
        private int ownRequests;
        private long windowStartMicros;

        TokenBucket(double ratePerSecond, long nowMicros) {
            this.ratePerSecond = ratePerSecond;
            this.tokens = burst();
            this.filledMicros = nowMicros;
            this.windowStartMicros = nowMicros;
        }

        private double burst() {
            return Math.max(1, ratePerSecond * BURST_SECONDS);
        }

        void updateRate(double rate, double evenRate, double total, long nowMicros) {
            long elapsedMicros = nowMicros - windowStartMicros;
            if (elapsedMicros < WINDOW_MICROS) {
                ratePerSecond = Math.max(evenRate, Math.min(rate, ratePerSecond));
                return;
            }
            ownPerSecond += (ownRequests * MICROS_PER_SECOND / elapsedMicros - ownPerSecond) * SMOOTHING_WEIGHT;
            ownRequests = 0;
            windowStartMicros = nowMicros;
            ratePerSecond = Math.max(evenRate, Math.min(rate, proportionalRate(rate, evenRate, total)));
        }

        private double proportionalRate(double rate, double evenRate, double total) {
            if (total < ownPerSecond * MIN_REPORTED_SHARE) {
                // Companions of an older release or lost links can leave out even the requests that this entry
                // admitted. With such counts each entry would claim the same remainder and admit the whole rate.
                return evenRate;
            }
            return total <= 0 ? evenRate : ownPerSecond * rate / total;
        }

        long take(long nowMicros) {
            tokens = Math.min(burst(), tokens + ratePerSecond * (nowMicros - filledMicros) / MICROS_PER_SECOND);
            filledMicros = nowMicros;
            if (tokens >= 1) {
                tokens--;
                ownRequests++;
                return 0;
            }
            return (long) Math.ceil((1 - tokens) * MICROS_PER_SECOND / ratePerSecond);
        }
    }
}
