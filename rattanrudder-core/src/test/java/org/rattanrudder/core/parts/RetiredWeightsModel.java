package org.rattanrudder.core.parts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Relays that vote to retire the first version of weights, over links and a log that fail at random, in virtual time.
 *
 * <p>Each relay has a view of its own of when the last target left the old weights, or sees one that never does. Relays
 * freeze, restart and join. All times are in ms.
 */
final class RetiredWeightsModel {
    static final long END = 60_000;
    static final long NAMED_AT = 10_000;

    private static final long STEP = 50;
    private static final long REPORT_INTERVAL = 100;
    private static final int PHASE_MILLIS = 3_000;

    /** In how many phases a relay joins on average. */
    private static final int JOIN_PHASES = 20;

    private final Random random;
    private final List<Member> members = new ArrayList<>();
    private final PriorityQueue<Message> underWay =
            new PriorityQueue<>((left, right) -> Long.compare(left.at, right.at));
    private final boolean calm;
    private long lastFetchEnd;
    private long firstEvictionAt = Long.MAX_VALUE;
    private long now;

    private record Message(long at, Member to, String from, RetirementReport report) {}

    /** One relay, and what fails around it. */
    private final class Member {
        private final String name;
        private final Map<Member, Boolean> hears = new HashMap<>();
        private RetiredWeights retired;
        private Set<String> known = Set.of();
        private boolean readsLog = true;
        private boolean started;
        private long newestNamed;
        private long frozenUntil;
        private long resumedAt = -END;
        private long seesLastTargetLeaveAt;

        private Member(String name) {
            this.name = name;
        }

        private boolean isFrozen() {
            return now < frozenUntil;
        }

        private void start() {
            retired = new RetiredWeights(name);
            known = Set.of();
            started = false;
            readLog();
        }

        private void readLog() {
            if (!readsLog || isFrozen()) {
                return;
            }
            known = names();
            retired.updateRelays(known, REPORT_INTERVAL);
            newestNamed = now >= NAMED_AT ? 2 : 1;
            if (!started) {
                retired.onStarted(newestNamed);
                started = true;
            }
            retired.onLogRead(now);
        }

        private void step() {
            if (isFrozen()) {
                return;
            }
            if (random.nextInt(20) == 0) {
                readLog();
            }
            if (!started) {
                return;
            }
            retired.updateOldestServed(now >= seesLastTargetLeaveAt ? 2 : 1);
            if (retired.mayFetch(1, newestNamed, now)) {
                lastFetchEnd = Math.max(lastFetchEnd, now + PartDirectory.FETCH_AFTER_SENT_MILLIS);
            }
            if (retired.evictableBefore(newestNamed, now) >= 2) {
                firstEvictionAt = Math.min(firstEvictionAt, now);
            }
        }

        private void report() {
            if (isFrozen() || now % REPORT_INTERVAL != 0) {
                return;
            }
            for (Member other : members) {
                boolean knowEachOther = known.contains(other.name) && other.known.contains(name);
                if (other != this && knowEachOther && other.hears.getOrDefault(this, true)) {
                    long at = now + random.nextInt((int) RetiredWeights.REPORT_DELAY_MILLIS / 2);
                    underWay.add(new Message(at, other, name, retired.report()));
                }
            }
        }
    }

    /**
     * Creates a model.
     *
     * @param relays how many relays there are
     * @param calm whether a majority has no trouble and sees all targets leave the old weights
     */
    RetiredWeightsModel(long seed, int relays, boolean calm) {
        random = new Random(seed);
        this.calm = calm;
        for (int index = 0; index < relays; index++) {
            members.add(new Member("relay-" + index));
        }
        members.forEach(Member::start);
        members.forEach(member -> member.seesLastTargetLeaveAt = drawView(member));
    }

    private Set<String> names() {
        Set<String> names = new TreeSet<>();
        members.forEach(member -> names.add(member.name));
        return names;
    }

    private boolean isTroubled(Member member) {
        return !calm || members.indexOf(member) < (members.size() - 1) / 2;
    }

    /** Plays to the end. */
    void play() {
        for (now = 0; now < END; now += STEP) {
            if (now % PHASE_MILLIS == 0) {
                members.stream().filter(this::isTroubled).forEach(this::drawTrouble);
                joinMaybe();
            }
            // A frozen relay finds its messages when it resumes.
            List<Message> unread = new ArrayList<>();
            while (!underWay.isEmpty() && underWay.peek().at <= now) {
                Message message = underWay.poll();
                if (message.to.isFrozen()) {
                    unread.add(message);
                } else {
                    boolean current = now - message.to.resumedAt > STEP;
                    message.to.retired.onPeerReport(message.from, message.report, current, now);
                }
            }
            underWay.addAll(unread);
            members.forEach(Member::report);
            members.forEach(Member::step);
        }
    }

    /** Adds a relay, which the others know once they read the log. */
    private void joinMaybe() {
        if (!calm && random.nextInt(JOIN_PHASES) == 0) {
            Member joined = new Member("relay-" + members.size());
            members.add(joined);
            joined.seesLastTargetLeaveAt = drawView(joined);
            joined.start();
        }
    }

    private long drawView(Member member) {
        boolean never = isTroubled(member) && random.nextInt(3) == 0;
        return never ? Long.MAX_VALUE : NAMED_AT + 500 + random.nextInt(10_000);
    }

    private void drawTrouble(Member member) {
        member.readsLog = random.nextInt(2) == 0;
        for (Member other : members) {
            member.hears.put(other, random.nextInt(2) == 0);
        }
        if (random.nextInt(8) == 0) {
            member.frozenUntil = now + random.nextInt(6_000);
            member.resumedAt = member.frozenUntil;
        } else if (random.nextInt(6) == 0) {
            member.start();
        }
    }

    /** Returns when the last fetch of an old part may have ended. */
    long lastFetchEnd() {
        return lastFetchEnd;
    }

    /** Returns when an old part was evicted first; the end of time if never. */
    long firstEvictionAt() {
        return firstEvictionAt;
    }
}
