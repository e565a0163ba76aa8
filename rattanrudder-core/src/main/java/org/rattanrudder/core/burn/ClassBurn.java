package org.rattanrudder.core.burn;

import java.util.List;
import java.util.Map;

/**
 * The burn of one request class of one service over all queried entries.
 *
 * @param service the service
 * @param requestClass the request class
 * @param objectiveMillis the time to the first byte that counts as good
 * @param objectiveShare the share of requests that must be good
 * @param excluded requests that count as neither good nor bad
 * @param windows the counts of each window
 * @param alerts the raised alerts
 * @param firstByte times to the first byte over the last six hours
 * @param customers the counts of each customer over the last six hours, the one with the most bad requests first
 * @param minutes the counts in each minute of the last hour that had any, oldest first
 * @param quarters the counts in each quarter of an hour that had any, oldest first
 */
public record ClassBurn(
        String service,
        String requestClass,
        long objectiveMillis,
        double objectiveShare,
        long excluded,
        Map<Window, WindowBurn> windows,
        List<BurnAlert> alerts,
        LatencyHistogram firstByte,
        List<BurnSnapshot.CustomerCounts> customers,
        List<BurnSnapshot.SlotCounts> minutes,
        List<BurnSnapshot.SlotCounts> quarters) {
    /** Copies the collections. */
    public ClassBurn {
        windows = Map.copyOf(windows);
        alerts = List.copyOf(alerts);
        customers = List.copyOf(customers);
        minutes = List.copyOf(minutes);
        quarters = List.copyOf(quarters);
    }

    /** Returns the remaining share of the error budget of three days. */
    public double budgetLeft() {
        return windows.get(Window.THREE_DAYS).budgetLeft();
    }
}
