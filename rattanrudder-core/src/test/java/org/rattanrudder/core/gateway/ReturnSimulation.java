package org.rattanrudder.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.rattanrudder.core.gateway.ReturnAdmission.CloseUnread;
import org.rattanrudder.core.gateway.ReturnAdmission.Traits;

/**
 * Simulates the load of relays of which all, or one, start at time 0, in steps of 1 ms.
 *
 * <p>The costs are those of a relay process that was measured on one core, see docs/design/returns.md. Callers retry
 * once, at any relay.
 */
final class ReturnSimulation {
    static final int SECONDS = 12;
    private static final int RELAYS = 22;
    private static final double LISTENS_AFTER_CPU_MILLIS = 240;
    private static final double READY_AFTER_CPU_MILLIS = 380;

    /** Iterations of the event loop in which a request has work: it is read, sent on and answered. */
    private static final int STEPS = 3;

    private static final double CLOSE_CPU_MILLIS = 0.3;
    private static final double AVAILABLE_SHARE = 0.8;
    private static final long TARGET_MILLIS = 25;
    private static final long LATE_MILLIS = 3_000;
    private static final long RETRY_AFTER_MILLIS = 450;
    private static final int WARM_REQUESTS = 1_000;

    /** What callers ask for; rates are of all relays together. */
    private enum Kind {
        LONG_PROMPT(43.7, 1_215, 5_063, false),
        SHORT_PROMPT(152, 407, 15_244, false),
        NON_IDEMPOTENT(32.8, 148, 627, false),
        IDEMPOTENT(22.7, 147, 625, true);

        private final double perSecond;
        private final long objectiveMillis;
        private final long deadlineMillis;
        private final boolean abandonsEarly;

        Kind(double perSecond, long objectiveMillis, long deadlineMillis, boolean abandonsEarly) {
            this.perSecond = perSecond;
            this.objectiveMillis = objectiveMillis;
            this.deadlineMillis = deadlineMillis;
            this.abandonsEarly = abandonsEarly;
        }
    }

    /** What a relay does with new connections. */
    enum Way {
        ALL_IN_ORDER,
        LISTEN_WHEN_READY,
        REJECT_ALL_BUT_NEWEST,
        NEWEST_FIRST
    }

    /** The share of the callers of each second who were served at all, and within their objectives. */
    record Result(double[] served, double[] inTime) {
        double meanServed() {
            return mean(served);
        }

        double meanInTime() {
            return mean(inTime);
        }

        private static double mean(double[] shares) {
            double sum = 0;
            for (double share : shares) {
                sum += share;
            }
            return sum / shares.length;
        }
    }

    private record Call(Kind kind, long firstAt, boolean again) {}

    private static final class Connection {
        private final Call call;
        private final long leavesAt;
        private boolean ended;

        Connection(Call call, long now) {
            this.call = call;
            long left = call.kind.deadlineMillis - (now - call.firstAt);
            leavesAt = now + (call.kind.abandonsEarly ? Math.min(1_000, left / 3) : left);
        }
    }

    private record Attempt(long at, Call call) {}

    /** A request that a relay works on: it is read, sent on and answered in different iterations of the event loop. */
    private static final class Work {
        private final Connection connection;
        private final boolean isCounted;
        private int stepsDone;
        private long runsAt;

        Work(Connection connection, boolean isCounted, long runsAt) {
            this.connection = connection;
            this.isCounted = isCounted;
            this.runsAt = runsAt;
        }
    }

    /** A relay, whose event loop runs the next step of all requests in each iteration. */
    private final class Relay {
        private final long listensAt;
        private final long readyAt;
        private final List<Connection> unread = new ArrayList<>();
        private final List<Work> works = new ArrayList<>();
        private final ReturnAdmission<Connection> admission;
        private double busyUntil;
        private int requests;

        Relay(Traits traits, boolean isWarm) {
            readyAt = isWarm ? -LATE_MILLIS : (long) (READY_AFTER_CPU_MILLIS / cores);
            long listeningAt = isWarm ? -LATE_MILLIS : (long) (LISTENS_AFTER_CPU_MILLIS / cores);
            listensAt = way == Way.LISTEN_WHEN_READY ? readyAt : listeningAt;
            requests = isWarm ? WARM_REQUESTS : 0;
            admission = new ReturnAdmission<>(traits, listensAt);
        }

        private void work(double cpuMillis) {
            busyUntil += cpuMillis / (cores * AVAILABLE_SHARE);
        }

        /** A request costs 20 ms of a processor at first and 2.5 ms in the end. */
        private double requestCpuMillis() {
            return 2.5 + 10 * Math.exp(-requests / 8.0) + 8 * Math.exp(-requests / 60.0);
        }

        void step(long now) {
            if (now < listensAt || busyUntil > now) {
                return;
            }
            busyUntil = now;
            boolean ready = now >= readyAt;
            switch (way) {
                case NEWEST_FIRST -> admit(ready, now);
                case REJECT_ALL_BUT_NEWEST -> rejectAllButNewest();
                default -> unread.forEach(connection -> works.add(new Work(connection, false, now)));
            }
            unread.clear();
            List<Work> due = works.stream().filter(work -> work.runsAt <= now).toList();
            due.forEach(work -> run(work, ready));
        }

        private void admit(boolean ready, long now) {
            for (Connection opened : unread) {
                if (admission.onOpened(opened, now - listensAt < LATE_MILLIS, ready, now)) {
                    works.add(new Work(opened, false, now));
                }
            }
            for (ReturnAdmission.Decision<Connection> decision : admission.decide(ready, now)) {
                if (decision instanceof CloseUnread<Connection> closed) {
                    work(CLOSE_CPU_MILLIS);
                    retry(closed.connection(), (long) busyUntil);
                } else {
                    works.add(new Work(decision.connection(), true, now));
                }
            }
        }

        private void rejectAllButNewest() {
            for (int index = 0; index < unread.size(); index++) {
                if (index < unread.size() - 1) {
                    reject(unread.get(index));
                } else {
                    works.add(new Work(unread.get(index), false, 0));
                }
            }
        }

        private void reject(Connection connection) {
            work(requestCpuMillis() / STEPS);
            requests++;
            retry(connection, (long) busyUntil + Math.min(RETRY_AFTER_MILLIS, connection.call.kind.deadlineMillis / 4));
        }

        private void run(Work work, boolean ready) {
            if (work.stepsDone == 0 && (!ready || work.connection.ended)) {
                reject(work.connection);
                end(work);
                return;
            }
            work(requestCpuMillis() / STEPS);
            work.stepsDone++;
            work.runsAt = (long) busyUntil;
            if (work.stepsDone == STEPS - 1) {
                work.runsAt += TARGET_MILLIS;
                done(work);
            }
            if (work.stepsDone == STEPS) {
                requests++;
                works.remove(work);
                onServed(work.connection, (long) busyUntil);
            }
        }

        private void end(Work work) {
            works.remove(work);
            done(work);
        }

        private void done(Work work) {
            if (work.isCounted) {
                admission.onDone();
            }
        }
    }

    private final Way way;
    private final double cores;
    private final boolean othersServe;
    private final Random random;
    private final List<Relay> relays = new ArrayList<>();
    private final PriorityQueue<Attempt> attempts = new PriorityQueue<>(Comparator.comparingLong(Attempt::at));
    private final PriorityQueue<Connection> open = new PriorityQueue<>(Comparator.comparingLong(each -> each.leavesAt));
    private final int[] calls = new int[SECONDS];
    private final int[] served = new int[SECONDS];
    private final int[] inTime = new int[SECONDS];

    private ReturnSimulation(Way way, Traits traits, double cores, boolean othersServe, long seed) {
        this.way = way;
        this.othersServe = othersServe;
        this.cores = cores;
        random = new Random(seed);
        for (int number = 0; number < RELAYS; number++) {
            relays.add(new Relay(traits, othersServe && number > 0));
        }
        for (Kind kind : Kind.values()) {
            addCalls(kind);
        }
    }

    /**
     * Simulates relays with so many cores each.
     *
     * @param othersServe whether only one relay starts, and the others serve as usual
     */
    static Result run(Way way, Traits traits, double cores, boolean othersServe, long seed) {
        return new ReturnSimulation(way, traits, cores, othersServe, seed).run();
    }

    private void addCalls(Kind kind) {
        double at = 0;
        while (true) {
            at -= Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond;
            if (at >= SECONDS * 1_000) {
                return;
            }
            attempts.add(new Attempt((long) at, new Call(kind, (long) at, false)));
            calls[(int) at / 1_000]++;
        }
    }

    private Result run() {
        for (long now = 0; now < 2 * SECONDS * 1_000; now++) {
            while (!attempts.isEmpty() && attempts.peek().at <= now) {
                attempt(attempts.remove().call, now);
            }
            while (!open.isEmpty() && open.peek().leavesAt <= now) {
                retry(open.remove(), now);
            }
            for (Relay relay : relays) {
                relay.step(now);
            }
        }
        double[] servedShares = new double[SECONDS];
        double[] inTimeShares = new double[SECONDS];
        for (int second = 0; second < SECONDS; second++) {
            servedShares[second] = (double) served[second] / calls[second];
            inTimeShares[second] = (double) inTime[second] / calls[second];
        }
        return new Result(servedShares, inTimeShares);
    }

    private void attempt(Call call, long now) {
        Connection connection = new Connection(call, now);
        Relay relay = relays.get(random.nextInt(RELAYS));
        if (now < relay.listensAt) {
            retry(connection, now + 1);
            return;
        }
        relay.unread.add(connection);
        open.add(connection);
    }

    private void retry(Connection connection, long at) {
        if (connection.ended) {
            return;
        }
        connection.ended = true;
        if (!connection.call.again) {
            attempts.add(new Attempt(at, new Call(connection.call.kind, connection.call.firstAt, true)));
        }
    }

    private void onServed(Connection connection, long at) {
        if (connection.ended) {
            return;
        }
        connection.ended = true;
        Call call = connection.call;
        long millis = at - call.firstAt;
        int second = (int) (call.firstAt / 1_000);
        served[second] += millis <= call.kind.deadlineMillis ? 1 : 0;
        inTime[second] += millis <= call.kind.objectiveMillis ? 1 : 0;
    }
}
