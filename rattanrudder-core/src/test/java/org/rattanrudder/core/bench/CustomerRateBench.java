package org.rattanrudder.core.bench;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.rattanrudder.core.entry.RateLimitSimulation;

/** Measures how near entries without a shared store come to a customer's rate, by how its demand falls on them. */
public final class CustomerRateBench {
    private static final int RATE = 100;

    private CustomerRateBench() {}

    /** Prints the table, then what a change of the entry that all demand comes through does. */
    public static void main(String[] arguments) {
        System.out.println("rate 100/s | demand by entry       | demand/s | let pass/s after 10 s | of what was due");
        for (double[] parts : new double[][] {
            {0.34, 0.33, 0.33}, {0.5, 0.3, 0.2}, {0.8, 0.1, 0.1}, {1, 0, 0}, {0.125, 0.125, 0.125, 0.125, 0.5}
        }) {
            for (int demand : new int[] {50, 90, 100, 300}) {
                RateLimitSimulation sharing = new RateLimitSimulation(RATE, parts.length);
                int[] passed = sharing.run(0, 60, demand, parts, new SplittableRandom(4));
                double mean = Arrays.stream(passed).skip(10).average().orElseThrow();
                System.out.printf(
                        "           | %-21s | %8d | %21.1f | %6.1f%%%n",
                        Arrays.toString(parts)
                                .substring(
                                        0, Math.min(21, Arrays.toString(parts).length())),
                        demand,
                        mean,
                        100 * mean / Math.min(RATE, demand));
            }
        }
        RateLimitSimulation sharing = new RateLimitSimulation(RATE, 3);
        SplittableRandom random = new SplittableRandom(4);
        sharing.run(0, 20, 90, new double[] {1, 0, 0}, random);
        System.out.println("demand of 90/s moves from the first of 3 entries to the second; let pass in each second: "
                + Arrays.toString(sharing.run(20, 12, 90, new double[] {0, 1, 0}, random)));
        System.out.println("then 300/s through all three: "
                + Arrays.toString(sharing.run(32, 12, 300, new double[] {0.34, 0.33, 0.33}, random)));
    }
}
