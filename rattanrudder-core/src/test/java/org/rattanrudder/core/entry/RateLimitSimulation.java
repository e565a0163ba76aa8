package org.rattanrudder.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.CustomerName;

/** Some entries that hold one customer's rate, and a companion that counts for them and reports each second. */
public final class RateLimitSimulation {
    private static final long SECOND = 1_000_000;
    private static final long CUSTOMER = 7;
    private static final Address COMPANION = new Address("10.0.0.1", 9000);

    private final CustomerSettings customer;
    private final List<CustomerLimits> limits = new ArrayList<>();
    private final List<CustomerUsage> usages = new ArrayList<>();
    private long taken;

    /** Creates entries that share the rate in requests a second. */
    public RateLimitSimulation(double rate, int entries) {
        customer = new CustomerSettings(new CustomerName("depot-sever"), List.of(), 1, rate, Set.of());
        for (int entry = 0; entry < entries; entry++) {
            limits.add(new CustomerLimits());
            usages.add(new CustomerUsage());
        }
    }

    /**
     * Lets demand arrive for some seconds and returns how many requests were let pass in each.
     *
     * @param perSecond the demand of all entries together
     * @param parts each entry's part of it
     */
    public int[] run(int fromSecond, int seconds, int perSecond, double[] parts, SplittableRandom random) {
        int[] passed = new int[seconds];
        for (int call = 0; call < perSecond * seconds; call++) {
            long now = (fromSecond + 1) * SECOND + call * SECOND / perSecond;
            if (call % perSecond == 0) {
                report(now);
            }
            int entry = draw(parts, random);
            double total = usages.get(entry).perSecond(CUSTOMER, now);
            if (limits.get(entry).admit(customer, limits.size(), total, now) == 0) {
                passed[call / perSecond]++;
                taken++;
            }
        }
        return passed;
    }

    private void report(long now) {
        Frame.Heartbeat heartbeat = new Frame.Heartbeat(
                3, 1, List.of(), List.of(), limits.size(), List.of(new Frame.CustomerCount(CUSTOMER, taken)));
        usages.forEach(usage -> usage.heard(COMPANION, heartbeat, now));
    }

    private static int draw(double[] parts, SplittableRandom random) {
        double drawn = random.nextDouble();
        int entry = 0;
        while (entry < parts.length - 1 && drawn >= parts[entry]) {
            drawn -= parts[entry];
            entry++;
        }
        return entry;
    }
}
