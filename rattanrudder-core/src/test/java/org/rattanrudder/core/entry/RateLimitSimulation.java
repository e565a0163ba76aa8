package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.CustomerName;

/** Simulates entries that enforce one customer's rate, and a companion that reports admitted requests each second. */
public final class RateLimitSimulation {
    private static final long SECOND = 1_000_000;
    private static final long CUSTOMER = 7;
    private static final Address COMPANION = new Address("10.0.0.1", 9000);

    private final CustomerSettings customer;
    private final List<CustomerLimits> limits = new ArrayList<>();
    private final List<CustomerUsage> usages = new ArrayList<>();
    private long admittedTotal;

    /** Creates a simulation of entries that share a rate, in requests a second. */
    public RateLimitSimulation(double rate, int entries) {
        customer = new CustomerSettings(new CustomerName("depot-sever"), List.of(), 1, rate, Set.of());
        for (int entry = 0; entry < entries; entry++) {
            limits.add(new CustomerLimits());
            usages.add(new CustomerUsage());
        }
    }

    /**
     * Sends requests for some seconds and returns the number of admitted requests in each second.
     *
     * @param perSecond requests a second at all entries together
     * @param shares each entry's share of the requests
     */
    public int[] run(int fromSecond, int seconds, int perSecond, double[] shares, SplittableRandom random) {
        int[] admitted = new int[seconds];
        for (int call = 0; call < perSecond * seconds; call++) {
            long now = (fromSecond + 1) * SECOND + call * SECOND / perSecond;
            if (call % perSecond == 0) {
                report(now);
            }
            int entry = draw(shares, random);
            double total = usages.get(entry).requestsPerSecond(CUSTOMER, now);
            if (limits.get(entry).admit(customer, limits.size(), total, now) == 0) {
                admitted[call / perSecond]++;
                admittedTotal++;
            }
        }
        return admitted;
    }

    private void report(long now) {
        Frame.Heartbeat heartbeat = new Frame.Heartbeat(
                3, 1, List.of(), List.of(), limits.size(), List.of(new Frame.CustomerCount(CUSTOMER, admittedTotal)));
        usages.forEach(usage -> usage.onHeartbeat(COMPANION, heartbeat, now));
    }

    private static int draw(double[] shares, SplittableRandom random) {
        double drawn = random.nextDouble();
        int entry = 0;
        while (entry < shares.length - 1 && drawn >= shares[entry]) {
            drawn -= shares[entry];
            entry++;
        }
        return entry;
    }
}
