package org.rattanrudder.core.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rattanrudder.core.document.RequestClass;
import org.rattanrudder.core.entry.RequestSummary;

/**
 * Counts the ended requests of one entry against their objectives.
 *
 * <p>Its memory is bounded: each request class of a service has counts for 60 minutes and 288 quarters of an hour,
 * six histograms, and the counts of its customers over six hours. The counts are lost when the process ends; {@link
 * BurnReport} shows which time they don't cover.
 *
 * <pre>{@code
 * BurnLedger ledger = new BurnLedger("18c1f", "entry-1", "depo-sever", startMillis);
 * ledger.record(summary, requestClass, nowMillis);
 * BurnSnapshot snapshot = ledger.snapshot(nowMillis);
 * }</pre>
 */
public final class BurnLedger {
    private final String incarnation;
    private final String instance;
    private final String failureDomain;
    private final long startedMillis;
    private final Map<ClassKey, ClassLedger> classes =
            new TreeMap<>(Comparator.comparing(ClassKey::service).thenComparing(ClassKey::requestClass));
    private long latestMillis;

    /**
     * Creates an empty ledger.
     *
     * @param incarnation identifies this process
     * @param instance the entry's name
     * @param failureDomain the failure domain of the entry
     * @param startedMillis the current time in milliseconds since 1970
     */
    public BurnLedger(String incarnation, String instance, String failureDomain, long startedMillis) {
        this.incarnation = incarnation;
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.startedMillis = startedMillis;
        this.latestMillis = startedMillis;
    }

    /**
     * Counts one ended request.
     *
     * @param summary the request
     * @param objective its request class in the service's document at the time of its admission
     * @param nowMillis the time in milliseconds since 1970, advanced from the start by a monotonic clock
     */
    public void record(RequestSummary summary, RequestClass objective, long nowMillis) {
        latestMillis = Math.max(latestMillis, nowMillis);
        classes.computeIfAbsent(new ClassKey(summary.service(), objective.name()), key -> new ClassLedger())
                .record(summary, objective, latestMillis);
    }

    /** Returns a snapshot of the counts. */
    public BurnSnapshot snapshot(long nowMillis) {
        latestMillis = Math.max(latestMillis, nowMillis);
        List<BurnSnapshot.ClassCounts> counts = new ArrayList<>();
        classes.forEach((key, ledger) -> counts.add(ledger.counts(key, latestMillis)));
        return new BurnSnapshot(incarnation, instance, failureDomain, startedMillis, latestMillis, counts);
    }

    /** Identifies a request class of a service. */
    private record ClassKey(String service, String requestClass) {}

    /** The counts of one request class. */
    private static final class ClassLedger {
        private final SlotRing minutes = SlotRing.ofMinutes();
        private final SlotRing quarters = SlotRing.ofQuarters();
        private final HourRing hours = new HourRing();
        private RequestClass objective;
        private long excluded;

        void record(RequestSummary summary, RequestClass current, long nowMillis) {
            objective = current;
            ObjectiveOutcome outcome = ObjectiveOutcome.of(summary, current);
            if (outcome == ObjectiveOutcome.EXCLUDED) {
                excluded++;
                return;
            }
            boolean isGood = outcome == ObjectiveOutcome.GOOD;
            minutes.add(isGood, nowMillis);
            quarters.add(isGood, nowMillis);
            hours.addCustomer(summary.customer(), isGood, nowMillis);
            if (summary.firstByteMicros() >= 0) {
                hours.addLatency(summary.firstByteMicros(), nowMillis);
            }
        }

        BurnSnapshot.ClassCounts counts(ClassKey key, long nowMillis) {
            return new BurnSnapshot.ClassCounts(
                    key.service(),
                    key.requestClass(),
                    objective.objectiveMillis(),
                    objective.objectiveShare(),
                    excluded,
                    minutes.slots(nowMillis),
                    quarters.slots(nowMillis),
                    hours.latencies(nowMillis),
                    hours.customers(nowMillis));
        }
    }
}
