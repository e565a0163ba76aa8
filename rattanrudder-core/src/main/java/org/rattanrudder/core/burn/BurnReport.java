package org.rattanrudder.core.burn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The merged snapshots of several entries.
 *
 * <p>A report keeps the newest snapshot of each incarnation, and adds up the counts only when they are read. So
 * merging is associative and commutative, and querying an entry twice counts nothing twice.
 *
 * <pre>{@code
 * BurnReport report = snapshots.stream().map(BurnReport::of).reduce(BurnReport.EMPTY, BurnReport::merge);
 * }</pre>
 */
public final class BurnReport {
    /** The report without entries. */
    public static final BurnReport EMPTY = new BurnReport(new TreeMap<>());

    private final SortedMap<String, BurnSnapshot> snapshots;

    private BurnReport(SortedMap<String, BurnSnapshot> snapshots) {
        this.snapshots = snapshots;
    }

    /** Returns the report of one entry. */
    public static BurnReport of(BurnSnapshot snapshot) {
        SortedMap<String, BurnSnapshot> one = new TreeMap<>();
        one.put(snapshot.incarnation(), snapshot);
        return new BurnReport(one);
    }

    /** Returns a report of the entries of both reports. */
    public BurnReport merge(BurnReport other) {
        SortedMap<String, BurnSnapshot> both = new TreeMap<>(snapshots);
        other.snapshots.forEach((incarnation, snapshot) -> both.merge(incarnation, snapshot, BurnReport::newer));
        return new BurnReport(both);
    }

    /** Returns the snapshots, ordered by incarnation. */
    public Collection<BurnSnapshot> snapshots() {
        return List.copyOf(snapshots.values());
    }

    /** Returns the time of the newest snapshot; 0 if there is none. */
    public long nowMillis() {
        return snapshots.values().stream()
                .mapToLong(BurnSnapshot::takenMillis)
                .max()
                .orElse(0);
    }

    /** Returns how much of the window the counts of the entries cover. */
    public Coverage coverage(Window window) {
        long from = nowMillis() - window.millis();
        List<Coverage.Gap> gaps = snapshots.values().stream()
                .filter(snapshot -> snapshot.startedMillis() > from)
                .map(snapshot -> new Coverage.Gap(snapshot.instance(), from, snapshot.startedMillis()))
                .toList();
        double missing = gaps.stream()
                .mapToDouble(gap -> (double) (gap.untilMillis() - gap.fromMillis()) / window.millis())
                .sum();
        double share = snapshots.isEmpty() ? 0 : 1 - missing / snapshots.size();
        return new Coverage(window, share, gaps);
    }

    /** Returns how many entries were counting during the whole of a slot; if 0, nothing is known about it. */
    public long entriesCovering(long slotStartMillis) {
        return snapshots.values().stream()
                .filter(snapshot -> snapshot.startedMillis() <= slotStartMillis)
                .count();
    }

    /** Returns the burn of each request class of each service, ordered by name. */
    public List<ClassBurn> classes() {
        SortedMap<String, List<Counted>> byClass = new TreeMap<>();
        snapshots
                .values()
                .forEach(snapshot -> snapshot.classes()
                        .forEach(counts -> byClass.computeIfAbsent(
                                        counts.service() + " " + counts.requestClass(), key -> new ArrayList<>())
                                .add(new Counted(snapshot, counts))));
        return byClass.values().stream().map(this::burn).toList();
    }

    private ClassBurn burn(List<Counted> counted) {
        // Entries may differ while a new document propagates: the objective of the newest snapshot applies.
        BurnSnapshot.ClassCounts newest = counted.stream()
                .max(Comparator.comparingLong((Counted each) -> each.snapshot.takenMillis())
                        .thenComparing(each -> each.snapshot.incarnation()))
                .orElseThrow()
                .counts;
        List<BurnSnapshot.ClassCounts> all =
                counted.stream().map(Counted::counts).toList();
        Map<Window, WindowBurn> windows = new EnumMap<>(Window.class);
        for (Window window : Window.values()) {
            windows.put(window, windowBurn(window, all, newest.objectiveShare()));
        }
        List<BurnAlert> alerts = Stream.of(BurnAlert.values())
                .filter(alert -> alert.isRaised(windows))
                .toList();
        return new ClassBurn(
                newest.service(),
                newest.requestClass(),
                newest.objectiveMillis(),
                newest.objectiveShare(),
                all.stream().mapToLong(BurnSnapshot.ClassCounts::excluded).sum(),
                windows,
                alerts,
                LatencyHistogram.sum(
                        all.stream().map(BurnSnapshot.ClassCounts::firstByte).toList()),
                customers(all),
                slots(all, BurnSnapshot.ClassCounts::minutes, Window.HOUR),
                slots(all, BurnSnapshot.ClassCounts::quarters, Window.THREE_DAYS));
    }

    private WindowBurn windowBurn(Window window, List<BurnSnapshot.ClassCounts> all, double objectiveShare) {
        List<BurnSnapshot.SlotCounts> slots = slots(
                all,
                window.isCountedInMinutes() ? BurnSnapshot.ClassCounts::minutes : BurnSnapshot.ClassCounts::quarters,
                window);
        return new WindowBurn(
                slots.stream().mapToLong(BurnSnapshot.SlotCounts::good).sum(),
                slots.stream().mapToLong(BurnSnapshot.SlotCounts::bad).sum(),
                objectiveShare);
    }

    private List<BurnSnapshot.SlotCounts> slots(
            List<BurnSnapshot.ClassCounts> all,
            Function<BurnSnapshot.ClassCounts, List<BurnSnapshot.SlotCounts>> kind,
            Window window) {
        long from = window.startMillis(nowMillis());
        return all.stream()
                .flatMap(counts -> kind.apply(counts).stream())
                .filter(slot -> slot.startMillis() >= from)
                .collect(Collectors.toMap(
                        BurnSnapshot.SlotCounts::startMillis,
                        slot -> slot,
                        (one, other) -> new BurnSnapshot.SlotCounts(
                                one.startMillis(), one.good() + other.good(), one.bad() + other.bad()),
                        TreeMap::new))
                .values()
                .stream()
                .toList();
    }

    private static List<BurnSnapshot.CustomerCounts> customers(List<BurnSnapshot.ClassCounts> all) {
        return all.stream()
                .flatMap(counts -> counts.customers().stream())
                .collect(Collectors.toMap(
                        BurnSnapshot.CustomerCounts::customer,
                        counts -> counts,
                        (one, other) -> new BurnSnapshot.CustomerCounts(
                                one.customer(), one.good() + other.good(), one.bad() + other.bad())))
                .values()
                .stream()
                .sorted(Comparator.comparingLong(BurnSnapshot.CustomerCounts::bad)
                        .reversed()
                        .thenComparing(BurnSnapshot.CustomerCounts::customer))
                .toList();
    }

    private static BurnSnapshot newer(BurnSnapshot one, BurnSnapshot other) {
        return other.takenMillis() > one.takenMillis() ? other : one;
    }

    /** The counts of a request class with their snapshot. */
    private record Counted(BurnSnapshot snapshot, BurnSnapshot.ClassCounts counts) {}
}
