package org.rattanrudder.core.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.document.CustomerSettings;
import org.rattanrudder.core.model.CustomerName;
import org.rattanrudder.core.model.ErrorKind;

class CustomerLimitsTest {
    private static final double RATE = 100;
    private static final long SECOND = 1_000_000;
    private final CustomerSettings customer =
            new CustomerSettings(new CustomerName("depot-sever"), List.of(), 1, RATE, Set.of());

    /** However requests are distributed over the entries, together they admit no more than the rate and the bursts. */
    @Property(seed = "71", tries = 100)
    void entriesTogetherKeepTheRateWithoutASharedStore(
            @ForAll @IntRange(min = 1, max = 8) int entries,
            @ForAll @IntRange(min = 1, max = 1_000) int perSecond,
            @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int seconds = 20;
        int[] passed = new RateLimitSimulation(RATE, entries)
                .run(0, seconds, perSecond, randomShares(entries, random), random);

        assertThat((double) Arrays.stream(passed).sum())
                .isLessThanOrEqualTo(RATE * (seconds + 2 * CustomerLimits.BURST_SECONDS));
    }

    /**
     * A customer within its rate is refused: its only connection is to one entry, which admits just its even share
     * while
     * the other entries get no request of this customer.
     */
    @Property(seed = "72", tries = 50)
    void aCustomerWithinItsRateIsAdmittedByWhicheverEntries(
            @ForAll @IntRange(min = 1, max = 8) int entries, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RateLimitSimulation sharing = new RateLimitSimulation(RATE, entries);
        double[] parts = randomShares(entries, random);
        sharing.run(0, 15, 90, parts, random);

        assertThat(Arrays.stream(sharing.run(15, 10, 90, parts, random)).sum()).isGreaterThanOrEqualTo(9 * 95);
    }

    private static double[] randomShares(int entries, SplittableRandom random) {
        double[] shares = new double[entries];
        double left = 1;
        for (int entry = 0; entry < entries; entry++) {
            shares[entry] = entry == entries - 1 ? left : left * random.nextDouble();
            left -= shares[entry];
        }
        return shares;
    }

    /** Without counts from companions, an entry must not use others' shares, since all would use the same ones. */
    @Test
    void withoutCountsAnEntryKeepsToItsEvenShare() {
        CustomerLimits limits = new CustomerLimits();
        int passed = 0;
        for (int call = 0; call < 1_000; call++) {
            passed += limits.admit(customer, 4, 0, SECOND + call * SECOND / 100) == 0 ? 1 : 0;
        }
        assertThat((double) passed).isLessThanOrEqualTo(RATE / 4 * (10 + CustomerLimits.BURST_SECONDS));
    }

    @Test
    void theReturnedWaitIsExact() {
        CustomerLimits limits = new CustomerLimits();
        long wait = 0;
        while (wait == 0) {
            wait = limits.admit(customer, 2, 0, SECOND);
        }
        assertThat(wait).isEqualTo((long) (SECOND / (RATE / 2)));
        assertThat(limits.admit(customer, 2, 0, SECOND + wait)).isZero();
    }

    /** An entry's share of the rate follows from the number of entries that companions report. */
    @Test
    void anEntryAdmitsOnlyItsShareOfTheRate() {
        EntryDriver driver = EntryDriver.ready(TestDocuments.limited(10, TestDocuments.target(1)));
        driver.heartbeat(1, 100, true, 0, 5);
        int refused = 0;
        for (int call = 0; call < 10; call++) {
            long request = driver.prompt("sheet");
            refused += driver.effectsOf(EntryEffect.Refuse.class).isEmpty() ? 0 : 1;
            if (refused == 1) {
                assertThat(driver.refusal(request)).isEqualTo(ErrorKind.CUSTOMER_OVER_SHARE);
            }
        }
        assertThat(driver.dispatches()).hasSize((int) (10 * CustomerLimits.BURST_SECONDS / 5));
    }
}
