package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;

/**
 * A model of relays that read the log late, are suspended, restart and hear each other late or not at all, each by a
 * clock of its own, with the users' rule as the oracle.
 */
class VersionBoundTest {
    private static final long BOUND = 15_000;
    private static final int RELAYS = 3;
    private static final long END = 90_000;
    private static final long CHECK_MILLIS = 250;

    /** The wait of a read that finds nothing, and the time to the next one. */
    private static final long READ_WAIT = 1_500;

    private static final long READ_GAP = 50;
    private static final long REPORT_MILLIS = 100;

    /** What a relay that nothing happens to loses of the bound: two reads, and the way of their answers. */
    private static final long LOST_MILLIS = 2 * (READ_WAIT + READ_GAP) + 200;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final TreeMap<Long, Long> namedAt = new TreeMap<>();
    private final List<Relay> relays = new ArrayList<>();
    private Random random;
    private boolean calm;

    /** Something that happens at a time. */
    private record Event(long at, Runnable run) {}

    /** What a relay sends to another. */
    private record Report(String peer, String from, VersionQuestion question, List<KnownWeights> versions) {}

    private final class Relay {
        private final int number;
        private final long clockOffset;
        private int start;
        private DesiredVersions versions = new DesiredVersions();
        private VersionExchange exchange = new VersionExchange(versions);
        private long resumesAt;
        private long disturbedAt;

        Relay(int number) {
            this.number = number;
            clockOffset = random.nextInt(1_000_000);
        }

        String id() {
            return "r" + number + "-" + start;
        }

        /** Reads: the log answers when a version is named, or after the wait; the answer is handled when it can be. */
        void read(long now) {
            int reader = start;
            long known = versions.newest("m");
            long found = namedAt.tailMap(known, false).isEmpty() ? now + READ_WAIT : now + 1 + random.nextInt(30);
            at(found, () -> answer(now, found, reader));
        }

        private void answer(long askedAt, long now, int reader) {
            long newest = namedAt.isEmpty() ? 1 : namedAt.lastKey();
            handle(now, delay(), reader, () -> {
                versions.add("m", newest, time());
                versions.onReadToEnd(askedAt + clockOffset);
                at(this.now + READ_GAP, () -> {
                    if (reader == start) {
                        read(this.now);
                    }
                });
            });
        }

        private long now;

        private long time() {
            return now + clockOffset;
        }

        /** Runs a task of this process once it has arrived and the process isn't suspended. */
        private void handle(long sentAt, long delay, int process, Runnable task) {
            long at = Math.max(sentAt + delay, resumesAt);
            at(at, () -> {
                if (process != start) {
                    return;
                }
                if (at < resumesAt) {
                    handle(at, 0, process, task);
                    return;
                }
                now = at;
                task.run();
            });
        }

        void report(long at) {
            now = at;
            if (at >= resumesAt) {
                Report report = new Report("r" + number, id(), exchange.next(BOUND, time()), told());
                relays.stream()
                        .filter(other -> other != this && (calm || random.nextInt(5) > 0))
                        .forEach(other -> other.handle(at, delay(), other.start, () -> other.onReport(report)));
            }
            at(at + REPORT_MILLIS, () -> report(at + REPORT_MILLIS));
        }

        private List<KnownWeights> told() {
            return versions.versions().stream()
                    .map(known -> new KnownWeights(known.model(), known.version(), time() - known.sinceMillis()))
                    .toList();
        }

        private void onReport(Report report) {
            report.question()
                    .askedAt()
                    .ifPresent(askedAt -> exchange.onAsked(report.peer(), report.from(), askedAt, time()));
            report.question().answered().stream()
                    .filter(answered -> answered.relay().equals(id()))
                    .forEach(answered -> exchange.onAnswered(answered.askedAt(), report.versions(), time()));
        }

        private long delay() {
            return calm || random.nextInt(20) > 0 ? random.nextInt(40) : random.nextInt(5_000);
        }

        void suspend(long at, long millis) {
            disturbedAt = at + millis;
            resumesAt = at + millis;
        }

        void restart(long at) {
            disturbedAt = at;
            start++;
            versions = new DesiredVersions();
            exchange = new VersionExchange(versions);
            int reader = start;
            at(at + 200, () -> {
                if (reader == start) {
                    read(at + 200);
                }
            });
        }

        /** Returns the oldest version on which it lets requests begin; all if it has read nothing yet. */
        long oldest(long at) {
            return versions.oldestAllowed("m", BOUND, at + clockOffset);
        }
    }

    private void at(long time, Runnable task) {
        events.add(new Event(time, task));
    }

    private void begin(long seed) {
        random = new Random(seed);
        events.clear();
        namedAt.clear();
        relays.clear();
        for (int number = 0; number < RELAYS; number++) {
            Relay relay = new Relay(number);
            relays.add(relay);
            long first = random.nextInt(500);
            at(first, () -> relay.read(first));
            at(first, () -> relay.report(first));
        }
    }

    private void name(long at) {
        at(at, () -> namedAt.put(namedAt.isEmpty() ? 2 : namedAt.lastKey() + 1, at));
    }

    private void run(long until, CheckAt check) {
        long checkedAt = 0;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event next = events.poll();
            for (; checkedAt < next.at(); checkedAt += CHECK_MILLIS) {
                check.at(checkedAt);
            }
            next.run().run();
        }
    }

    /** Looks at all relays at a time. */
    private interface CheckAt {
        void at(long now);
    }

    /**
     * However late relays read, whatever they hear and whichever of them restart or are suspended, none that knows a
     * version lets requests begin on older ones past its bound.
     */
    @Property(tries = 400)
    void nothingBeginsPastTheBound(@ForAll long seed) {
        begin(seed);
        for (long at = 2_000; at < END; at += 300 + random.nextInt(12_000)) {
            name(at);
        }
        for (long at = 1_000; at < END; at += 1 + random.nextInt(5_000)) {
            long when = at;
            boolean all = random.nextInt(3) == 0;
            Relay one = relays.get(random.nextInt(RELAYS));
            long millis = random.nextInt(12_000);
            boolean restart = random.nextBoolean();
            at(
                    when,
                    () -> (all ? relays : List.of(one)).forEach(relay -> {
                        if (restart) {
                            relay.restart(when);
                        } else {
                            relay.suspend(when, millis);
                        }
                    }));
        }

        run(
                END,
                now -> relays.forEach(relay -> namedAt.headMap(relay.versions.newest("m"), true)
                        .forEach((version, named) -> {
                            if (now >= named + BOUND) {
                                assertThat(relay.oldest(now))
                                        .as("%s at %d: %d was named at %d", relay.id(), now, version, named)
                                        .isGreaterThanOrEqualTo(version);
                            }
                        })));
    }

    /** What could be served is: relays that nothing happens to serve on older weights for nearly all of the bound. */
    @Property(tries = 100)
    void undisturbedRelaysServeForNearlyAllOfTheBound(@ForAll long seed) {
        calm = true;
        begin(seed);
        long named = 4_000 + random.nextInt(3_000);
        name(named);

        run(
                named + BOUND - LOST_MILLIS,
                now -> relays.forEach(relay -> assertThat(relay.oldest(now))
                        .as("at %d, named at %d", now, named)
                        .isLessThan(2)));
    }

    /** One relay restarts after a version was named; its peers tell it the time, so that it serves as they do. */
    @Property(tries = 100)
    void relayThatRestartsLearnsTheTimeFromItsPeers(@ForAll long seed) {
        calm = true;
        begin(seed);
        long named = 4_000 + random.nextInt(3_000);
        long restarted = named + random.nextInt(5_000);
        name(named);
        at(restarted, () -> relays.get(0).restart(restarted));

        run(named + BOUND - LOST_MILLIS - 500, now -> {
            if (now > restarted + 1_500) {
                assertThat(relays.get(0).oldest(now))
                        .as("at %d, named at %d", now, named)
                        .isLessThan(2);
            }
        });
    }

    /** All relays stand still for six seconds while a version is named: none may count from its return. */
    @Test
    void allRelaysAreSuspendedWhileAVersionIsNamed() {
        calm = true;
        begin(1);
        name(7_000);
        at(6_800, () -> relays.forEach(relay -> relay.suspend(6_800, 6_000)));

        run(30_000, now -> {
            if (now >= 22_000) {
                relays.forEach(relay -> assertThat(relay.oldest(now)).isEqualTo(2));
            }
        });
    }
}
