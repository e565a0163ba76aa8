package org.rattanrudder.core.bench;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.rattanrudder.core.entry.RateLimitSimulation;

/**
 * Measures how closely entries without a shared store enforce a customer's rate limit, by the distribution of its
 * requests over the entries.
 */
public final class CustomerRateBench {
    private static final int REQUESTS_PER_SECOND = 100;

    private CustomerRateBench() {}

    /** Prints the table, then the effect of moving all requests from one entry to another. */
    public static void main(String[] arguments) {
        System.out.println("rate 100/s | demand by entry       | demand/s | let pass/s after 10 s | of what was due");
        for (double[] shares : new double[][] {
            {0.34, 0.33, 0.33}, {0.5, 0.3, 0.2}, {0.8, 0.1, 0.1}, {1, 0, 0}, {0.125, 0.125, 0.125, 0.125, 0.5}
        }) {
            for (int demand : new int[] {50, 90, 100, 300}) {
                RateLimitSimulation sharing = new RateLimitSimulation(REQUESTS_PER_SECOND, shares.length);
                int[] admitted = sharing.run(0, 60, demand, shares, new SplittableRandom(4));
                double mean = Arrays.stream(admitted).skip(10).average().orElseThrow();
                System.out.printf(
                        "           | %-21s | %8d | %21.1f | %6.1f%%%n",
                        Arrays.toString(shares)
                                .substring(
                                        0, Math.min(21, Arrays.toString(shares).length())),
                        demand,
                        mean,
                        100 * mean / Math.min(REQUESTS_PER_SECOND, demand));
            }
        }
        RateLimitSimulation sharing = new RateLimitSimulation(REQUESTS_PER_SECOND, 3);
        SplittableRandom random = new SplittableRandom(4);
        sharing.run(0, 20, 90, new double[] {1, 0, 0}, random);
        System.out.println("demand of 90/s moves from the first of 3 entries to the second; let pass in each second: "
                + Arrays.toString(sharing.run(20, 12, 90, new double[] {0, 1, 0}, random)));
        System.out.println("then 300/s through all three: "
                + Arrays.toString(sharing.run(32, 12, 300, new double[] {0.34, 0.33, 0.33}, random)));
    }
}
