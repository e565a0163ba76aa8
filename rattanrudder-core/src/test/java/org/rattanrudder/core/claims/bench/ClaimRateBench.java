package org.rattanrudder.core.claims.bench;

import java.util.Locale;

/**
 * Measures the rate and latency of claims by batch interval and number of writers, and the service during a one-hour
 * outage of the log.
 */
public final class ClaimRateBench {
    private static final double APPENDS_PER_SECOND = 300;
    private static final long TICK_MICROS = 50_000;
    private static final long LOAD_DURATION_MICROS = 10 * ClaimRateSimulation.MICROS_PER_SECOND;
    private static final int[] CALLS_PER_SECOND = {50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000};
    private static final double MAX_REFUSED_SHARE = 0.001;

    private ClaimRateBench() {}

    /** Prints both tables; times are simulated, so the figures are the same in each run. */
    public static void main(String[] arguments) {
        System.out.println("| writers | interval ms | carried/s | p50/p99 ms at 100/s | p50/p99 ms at 1,000/s"
                + " | appends/s and refused appends/s at 1,000/s |");
        System.out.println("| ---: | ---: | ---: | ---: | ---: | ---: |");
        for (int writers : new int[] {3, 30}) {
            for (int interval : new int[] {0, 5, 10, 20, 50, 100}) {
                System.out.println(row(writers, interval * 1_000L));
            }
        }
        System.out.println();
        outage();
    }

    private static String row(int writers, long interval) {
        ClaimRateSimulation slow = run(writers, interval, 100);
        ClaimRateSimulation fast = run(writers, interval, 1_000);
        double seconds = LOAD_DURATION_MICROS / (double) ClaimRateSimulation.MICROS_PER_SECOND;
        return String.format(
                Locale.ROOT,
                "| %d | %d | %,d | %.0f / %.0f | %.0f / %.0f | %.0f, %.0f |",
                writers,
                interval / 1_000,
                sustainedRate(writers, interval),
                slow.claimMillis(0.5),
                slow.claimMillis(0.99),
                fast.claimMillis(0.5),
                fast.claimMillis(0.99),
                fast.log.appends / seconds,
                fast.log.refused / seconds);
    }

    /** Returns the highest rate at which at most one call in a thousand is refused. */
    private static int sustainedRate(int writers, long interval) {
        int carried = 0;
        for (int rate : CALLS_PER_SECOND) {
            ClaimRateSimulation run = run(writers, interval, rate);
            if (run.refused() > MAX_REFUSED_SHARE * run.asked) {
                break;
            }
            carried = rate;
        }
        return carried;
    }

    private static ClaimRateSimulation run(int writers, long interval, int callsPerSecond) {
        ClaimRateSimulation run = new ClaimRateSimulation(writers, interval, TICK_MICROS, APPENDS_PER_SECOND);
        run.load(callsPerSecond, LOAD_DURATION_MICROS);
        return run;
    }

    private static void outage() {
        ClaimRateSimulation run = new ClaimRateSimulation(3, 10_000, TICK_MICROS, APPENDS_PER_SECOND);
        run.load(20, 60 * ClaimRateSimulation.MICROS_PER_SECOND);
        int before = run.ran();
        int refusedBefore = run.refused();
        run.log.down = true;
        run.load(20, 3_600 * ClaimRateSimulation.MICROS_PER_SECOND);
        int asked = run.asked;
        int repeated = Math.min(1_000, before);
        for (int key = 0; key < repeated; key++) {
            run.ask(key);
        }
        System.out.printf(
                Locale.ROOT,
                "Outage of an hour, 20 new keys a second over 3 companions: ran %d, refused %d, "
                        + "refused within p50 %.1f ms, p99 %.1f ms, slowest %.0f ms; "
                        + "of %d repeats of recorded keys %d were answered.%n",
                run.ran() - before,
                run.refused() - refusedBefore,
                run.refusalMillis(0.5),
                run.refusalMillis(0.99),
                run.refusalMillis(1),
                repeated,
                run.replayed);
        run.log.down = false;
        int ran = run.ran();
        run.load(20, ClaimRateSimulation.MICROS_PER_SECOND);
        System.out.printf(
                Locale.ROOT,
                "In the first second after it: ran %d of %d.%n",
                run.ran() - ran,
                run.asked - asked - repeated);
    }
}
