package org.rattanrudder.core.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.rattanrudder.core.admission.Admission;
import org.rattanrudder.core.admission.AdmissionLimits;
import org.rattanrudder.core.admission.FairAdmission;
import org.rattanrudder.core.bench.AdmissionSimulation.Load;
import org.rattanrudder.core.bench.AdmissionSimulation.Request;
import org.rattanrudder.core.model.CustomerName;

/** Compares fair admission at one overloaded target with first-in-first-out admission on the same seeds. */
final class AdmissionBench {
    private static final long MICROS_PER_SECOND = AdmissionSimulation.MICROS_PER_SECOND;
    private static final long DURATION_MICROS = 300 * MICROS_PER_SECOND;
    private static final int CONCURRENCY = 16;
    private static final AdmissionLimits LIMITS = AdmissionLimits.of(CONCURRENCY, 0, 256);
    private static final long CHECK_SERVICE_MICROS = 400_000;
    private static final long AUDIT_SERVICE_MICROS = 4 * MICROS_PER_SECOND;
    private static final long CHECK_DEADLINE_MICROS = 2 * MICROS_PER_SECOND;
    private static final long AUDIT_DEADLINE_MICROS = 60 * MICROS_PER_SECOND;
    private static final long[] SEEDS = {1, 2, 3, 4, 5};

    private AdmissionBench() {}

    /** Prints the tables. */
    public static void main(String[] arguments) {
        System.out.println("| load | admission | goodput | checks in time of those taken | checks in time of all "
                + "| audits in time of all | longest audit wait (s) | refused | of these at once |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        print("checks at 3 times capacity", mix(3.0, 0.0));
        print("checks at 0.8, audits at 2.2", mix(0.8, 2.2));
        print("checks at 2, audits at 1", mix(2.0, 1.0));
        print("checks at 0.95", mix(0.95, 0.0));
        print("checks at 0.5, audits at 0.3", mix(0.5, 0.3));
        System.out.println();
        System.out.println("| customer | share | checks offered, times capacity | part of the service, fifo | fair |");
        System.out.println("| --- | --- | --- | --- | --- |");
        printShares();
    }

    private static List<Load> mix(double checks, double audits) {
        List<Load> loads = new ArrayList<>();
        for (int customer = 0; customer < 10; customer++) {
            int share = customer < 2 ? 4 : 1;
            double part = share / 16.0;
            loads.add(checks("customer-" + customer, share, checks * part));
            if (audits > 0) {
                double rate = audits * part * CONCURRENCY * MICROS_PER_SECOND / AUDIT_SERVICE_MICROS;
                CustomerName name = new CustomerName("customer-" + customer);
                loads.add(new Load(name, share, "audit", 5, AUDIT_DEADLINE_MICROS, AUDIT_SERVICE_MICROS, rate));
            }
        }
        return loads;
    }

    private static Load checks(String customer, int share, double timesCapacity) {
        double rate = timesCapacity * CONCURRENCY * MICROS_PER_SECOND / CHECK_SERVICE_MICROS;
        return new Load(
                new CustomerName(customer), share, "check", 0, CHECK_DEADLINE_MICROS, CHECK_SERVICE_MICROS, rate);
    }

    private static void print(String name, List<Load> loads) {
        print(name, "fifo", loads, FifoAdmission::new);
        print(name, "fair", loads, FairAdmission::new);
    }

    private static void print(
            String name, String kind, List<Load> loads, Function<AdmissionLimits, Admission<Request>> factory) {
        List<Request> requests = new ArrayList<>();
        double best = 0;
        for (long seed : SEEDS) {
            List<Request> some = new AdmissionSimulation(factory.apply(LIMITS), seed).run(loads, DURATION_MICROS);
            best += Math.min(totalServiceMicros(some), (double) CONCURRENCY * lastEndMicros(some));
            requests.addAll(some);
        }
        double good =
                totalServiceMicros(requests.stream().filter(Request::inTime).toList());
        List<Request> checks = ofClass(requests, "check");
        List<Request> audits = ofClass(requests, "audit");
        List<Request> refused =
                requests.stream().filter(each -> each.refusedMicros >= 0).toList();
        long atOnce = refused.stream()
                .filter(each -> each.refusedMicros == each.arrivedMicros)
                .count();
        long longestWait = audits.stream()
                .filter(Request::started)
                .mapToLong(each -> each.startedMicros - each.arrivedMicros)
                .max()
                .orElse(0);
        System.out.printf(
                Locale.ROOT,
                "| %s | %s | %.1f%% | %.1f%% | %.1f%% | %s | %.1f | %.1f%% | %.1f%% |%n",
                name,
                kind,
                100 * good / best,
                percentInTime(checks.stream().filter(Request::started).toList()),
                percentInTime(checks),
                audits.isEmpty() ? "-" : String.format(Locale.ROOT, "%.1f%%", percentInTime(audits)),
                longestWait / 1e6,
                100.0 * refused.size() / requests.size(),
                100.0 * atOnce / Math.max(1, refused.size()));
    }

    private static void printShares() {
        List<Load> loads = List.of(
                checks("large", 4, 0.6),
                checks("flooding", 1, 2.0),
                checks("small-1", 1, 0.2),
                checks("small-2", 1, 0.1),
                checks("small-3", 1, 0.1));
        List<Request> fifo = new AdmissionSimulation(new FifoAdmission<>(LIMITS), 1).run(loads, DURATION_MICROS);
        List<Request> fair = new AdmissionSimulation(new FairAdmission<>(LIMITS), 1).run(loads, DURATION_MICROS);
        for (Load load : loads) {
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %d | %.1f | %.3f | %.3f |%n",
                    load.customer(),
                    load.share(),
                    load.requestsPerSecond() * CHECK_SERVICE_MICROS / MICROS_PER_SECOND / CONCURRENCY,
                    serviceShare(fifo, load),
                    serviceShare(fair, load));
        }
    }

    /** Returns when the last request ended, including requests that were still queued at the end of the load. */
    private static long lastEndMicros(List<Request> requests) {
        return requests.stream()
                .filter(Request::started)
                .mapToLong(each -> each.startedMicros + each.serviceMicros)
                .max()
                .orElse(0);
    }

    private static double serviceShare(List<Request> requests, Load load) {
        List<Request> served = requests.stream().filter(Request::started).toList();
        return totalServiceMicros(
                        served.stream().filter(each -> each.load == load).toList())
                / totalServiceMicros(served);
    }

    private static double totalServiceMicros(List<Request> requests) {
        return requests.stream().mapToLong(each -> each.serviceMicros).sum();
    }

    private static double percentInTime(List<Request> requests) {
        return 100.0 * requests.stream().filter(Request::inTime).count() / Math.max(1, requests.size());
    }

    private static List<Request> ofClass(List<Request> requests, String name) {
        return requests.stream()
                .filter(each -> each.load.requestClass().equals(name))
                .toList();
    }
}
