package org.rattanrudder.core.companion;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.frame.Frame;

/**
 * Counts the attempts that were accepted for each customer, from all entries. From the counts of all companions, each
 * entry learns how much of a customer's rate the other entries have admitted.
 */
final class CustomerCounts {
    private static final int MAX_CUSTOMERS = 4_096;
    private static final int MAX_REPORTED_CUSTOMERS = 32;
    private static final long RECENT_MICROS = 5_000_000;

    /** Ordered by last acceptance, the most recent at the end. */
    private final Map<Long, Count> counts = new LinkedHashMap<>();

    private record Count(long accepted, long lastAcceptedMicros) {}

    void recordAccepted(Frame.Dispatch dispatch, long nowMicros) {
        long customer = Frame.customerHash(dispatch.service(), dispatch.customer());
        Count before = counts.remove(customer);
        counts.put(customer, new Count(before == null ? 1 : before.accepted() + 1, nowMicros));
        if (counts.size() > MAX_CUSTOMERS) {
            counts.remove(counts.keySet().iterator().next());
        }
    }

    /** Returns the counts that changed within {@link #RECENT_MICROS}. */
    List<Frame.CustomerCount> recent(long nowMicros) {
        List<Frame.CustomerCount> recent = new ArrayList<>();
        counts.forEach((customer, count) -> {
            if (nowMicros - count.lastAcceptedMicros() < RECENT_MICROS) {
                recent.add(new Frame.CustomerCount(customer, count.accepted()));
            }
        });
        return recent.subList(Math.max(0, recent.size() - MAX_REPORTED_CUSTOMERS), recent.size());
    }
}
