package org.rattanrudder.core.burn;

import java.util.List;

/**
 * The counts of one entry at one moment. Times are milliseconds since 1970 on the entry's clock.
 *
 * @param incarnation identifies the process; two snapshots of one incarnation show the same counts at different times
 * @param instance the entry's name
 * @param failureDomain the failure domain of the entry
 * @param startedMillis when it started to count; it has no counts of the time before
 * @param takenMillis when the snapshot was taken
 * @param classes the counts of each request class of each service that had requests
 */
public record BurnSnapshot(
        String incarnation,
        String instance,
        String failureDomain,
        long startedMillis,
        long takenMillis,
        List<ClassCounts> classes) {
    /** Copies the list. */
    public BurnSnapshot {
        classes = List.copyOf(classes);
    }

    /**
     * The counts of one request class of one service.
     *
     * @param service the service
     * @param requestClass the request class
     * @param objectiveMillis the time to the first byte that counts as good
     * @param objectiveShare the share of requests that must be good
     * @param excluded requests that count as neither good nor bad, since the caller caused the failure
     * @param minutes good and bad requests in each minute that had any, oldest first
     * @param quarters good and bad requests in each quarter of an hour that had any, oldest first
     * @param firstByte times to the first byte over the last six hours
     * @param customers good and bad requests of each customer over the last six hours
     */
    public record ClassCounts(
            String service,
            String requestClass,
            long objectiveMillis,
            double objectiveShare,
            long excluded,
            List<SlotCounts> minutes,
            List<SlotCounts> quarters,
            LatencyHistogram firstByte,
            List<CustomerCounts> customers) {
        /** Copies the lists. */
        public ClassCounts {
            minutes = List.copyOf(minutes);
            quarters = List.copyOf(quarters);
            customers = List.copyOf(customers);
        }
    }

    /**
     * Good and bad requests in one slot of time.
     *
     * @param startMillis when the slot starts, a multiple of its length
     * @param good requests within the objective
     * @param bad requests that were late, or that failed because of the system
     */
    public record SlotCounts(long startMillis, long good, long bad) {}

    /**
     * Good and bad requests of one customer.
     *
     * @param customer the customer's name
     * @param good requests within the objective
     * @param bad requests that were late, or that failed because of the system
     */
    public record CustomerCounts(String customer, long good, long bad) {}
}
