package org.rattanrudder.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.rattanrudder.core.fleet.LoadReport.KnownWeights;
import org.rattanrudder.core.time.ElapsedTime;

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

    /** What a time of day that falls back by under 30 ms hides, each time. */
    private static final long JUMP_SLACK_MILLIS = 150;

    /** How often a relay compares its clocks. */
    private static final long SWEEP_MILLIS = 500;

    /** Until when relays have seen for long enough that their clocks keep in step. */
    private static final long PROVED_MILLIS = 65_000;

    /** What a relay that nothing happens to loses of the bound: two reads, and the way of their answers. */
    private static final long LOST_MILLIS = 2 * (READ_WAIT + READ_GAP) + 200;

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final TreeMap<Long, Long> namedAt = new TreeMap<>();
    private final List<Relay> relays = new ArrayList<>();
    private Random random;
    private boolean calm;

    /** Whether relays have a clock that counts suspensions beside the time of day. */
    private boolean bootClocks;

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
        private final long dayOffset;
        private long resumesAt;
        private long uncounted;
        private long jumped;
        private boolean jumps;
        private ElapsedTime elapsed;

        Relay(int number) {
            this.number = number;
            clockOffset = random.nextInt(1_000_000);
            dayOffset = random.nextInt(1_000_000_000);
            elapsed = new ElapsedTime(monotonic(0), timeOfDay(0), boot(0));
        }

        /** Doesn't count the time for which the machine was suspended. */
        private long monotonic(long at) {
            return at + clockOffset - uncounted;
        }

        private long timeOfDay(long at) {
            return at + dayOffset + jumped;
        }

        private OptionalLong boot(long at) {
            return bootClocks ? OptionalLong.of(at / 10 * 10) : OptionalLong.empty();
        }

        void sweep(long at) {
            if (at >= resumesAt) {
                elapsed.onReading(monotonic(at), timeOfDay(at), boot(at));
            }
            at(at + SWEEP_MILLIS, () -> sweep(at + SWEEP_MILLIS));
        }

        /** The longest time that may have passed. */
        private long time(long at) {
            if (elapsed.isDisturbed(monotonic(at), timeOfDay(at))) {
                elapsed.onReading(monotonic(at), timeOfDay(at), boot(at));
            } else {
                elapsed.follow(monotonic(at), timeOfDay(at));
            }
            return monotonic(at) + elapsed.possibleSurplusMillis();
        }

        String id() {
            return "r" + number + "-" + start;
        }

        /** Reads: the log answers when a version is named, or after the wait; the answer is handled when it can be. */
        void read(long now) {
            int reader = start;
            long known = versions.newest("m");
            long found = namedAt.tailMap(known, false).isEmpty() ? now + READ_WAIT : now + 1 + random.nextInt(30);
            long asked = time(now);
            at(found, () -> answer(asked, found, reader));
        }

        private void answer(long asked, long now, int reader) {
            long newest = namedAt.isEmpty() ? 1 : namedAt.lastKey();
            handle(now, delay(), reader, () -> {
                versions.add("m", newest, time());
                versions.onReadToEnd(asked);
                at(this.now + READ_GAP, () -> {
                    if (reader == start) {
                        read(this.now);
                    }
                });
            });
        }

        private long now;

        private long time() {
            return time(now);
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

        /** Stands still with its machine, whose monotonic clock doesn't count that time. */
        void suspend(long at, long millis) {
            long until = Math.max(resumesAt, at + millis);
            uncounted += until - Math.max(resumesAt, at);
            resumesAt = until;
        }

        /** Stands still alone. */
        void pause(long at, long millis) {
            resumesAt = Math.max(resumesAt, at + millis);
        }

        /** Its time of day jumps while it runs; without another clock nothing shows a suspension that a jump hides. */
        void jump(long at, long millis) {
            if (at >= resumesAt) {
                time(at);
                jumps = true;
                jumped += millis;
                time(at);
            }
        }

        long clockSlackMillis() {
            return jumps ? JUMP_SLACK_MILLIS : 0;
        }

        void restart(long at) {
            start++;
            elapsed = new ElapsedTime(monotonic(at), timeOfDay(at), boot(at));
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
            return versions.oldestAllowed("m", BOUND, time(at));
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
            at(first, () -> relay.sweep(first));
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
    void nothingBeginsPastTheBound(@ForAll long seed, @ForAll boolean withBootClocks) {
        bootClocks = withBootClocks;
        begin(seed);
        for (long at = 2_000; at < END; at += 300 + random.nextInt(12_000)) {
            name(at);
        }
        for (long at = 1_000; at < END; at += 1 + random.nextInt(5_000)) {
            long when = at;
            boolean all = random.nextInt(3) == 0;
            Relay one = relays.get(random.nextInt(RELAYS));
            long millis = random.nextInt(12_000);
            int kind = random.nextInt(4);
            at(
                    when,
                    () -> (all ? relays : List.of(one)).forEach(relay -> {
                        switch (kind) {
                            case 0 -> relay.restart(when);
                            case 1 -> relay.suspend(when, millis);
                            case 2 -> relay.pause(when, millis);
                            default -> relay.jump(when, millis - 6_000);
                        }
                    }));
        }

        run(
                END,
                now -> relays.stream()
                        .filter(relay -> now >= relay.resumesAt)
                        .forEach(relay -> namedAt.headMap(relay.versions.newest("m"), true)
                                .forEach((version, named) -> {
                                    if (now >= named + BOUND + relay.clockSlackMillis()) {
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

    /** The time of day jumps ahead and back in a rollout; relays left out engines that still had to load. */
    @Property(tries = 50)
    void jumpThatAnotherClockContradictsLosesNothingOfTheBound(@ForAll long seed) {
        calm = true;
        bootClocks = true;
        assertServesThroughJump(seed, 0);
    }

    /** Without another clock a jump ahead may be a suspension: the bound ends earlier by its length, and no more. */
    @Property(tries = 50)
    void jumpAloneLosesItsLengthOfTheBound(@ForAll long seed) {
        calm = true;
        assertServesThroughJump(seed, 3_000);
    }

    private void assertServesThroughJump(long seed, long lostMillis) {
        begin(seed);
        long named = PROVED_MILLIS + random.nextInt(3_000);
        name(named);
        at(named + 4_000, () -> relays.forEach(relay -> relay.jump(named + 4_000, 3_000)));
        at(named + 8_000, () -> relays.forEach(relay -> relay.jump(named + 8_000, -3_000)));

        run(
                named + BOUND - LOST_MILLIS - lostMillis,
                now -> relays.forEach(relay -> assertThat(relay.oldest(now))
                        .as("at %d, named at %d", now, named)
                        .isLessThan(2)));
    }
}
