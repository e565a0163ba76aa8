package org.rattanrudder.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;

/**
 * Relays before targets in virtual time: parts that crash targets among sound requests, outages, reports that come
 * late, and relays that start again.
 */
final class QuarantineModel {
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final long UNIX = 1_700_000_000_000L;
    private static final long DETECTION_MILLIS = 30;
    private static final long DOWN_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 100;
    private static final long SWEEP_MILLIS = 500;
    private static final long CLAIM_MILLIS = 20;
    private static final long CLAIM_INTERVAL_MILLIS = 1_000;

    /**
     * What is played.
     *
     * @param relays the number of relays
     * @param targets the number of targets
     * @param perSecond requests a second, with causes
     * @param causes how many parts crash targets
     * @param causePerSecond requests a second with each of them
     * @param burst how many of these come at once
     * @param beforeMillis how long a cause is harmless at first
     * @param parts how many shared parts sound requests have
     * @param outageMillis how long it takes until all targets end at once, again and again; 0 for never
     * @param restartMillis how long it takes until a relay starts again; 0 for never
     * @param seconds how long it is played
     * @param customers how many customers send sound requests; causes are sent by the first
     * @param soundFromMillis when sound requests begin
     * @param alternating whether requests with the causes come in turn, at equal distances
     */
    record Mix(
            int relays,
            int targets,
            int perSecond,
            int causes,
            double causePerSecond,
            int burst,
            long beforeMillis,
            int parts,
            long outageMillis,
            long restartMillis,
            int seconds,
            int customers,
            long soundFromMillis,
            boolean alternating) {
        Mix(
                int relays,
                int targets,
                int perSecond,
                int causes,
                double causePerSecond,
                int burst,
                long beforeMillis,
                int parts,
                long outageMillis,
                long restartMillis,
                int seconds) {
            this(
                    relays,
                    targets,
                    perSecond,
                    causes,
                    causePerSecond,
                    burst,
                    beforeMillis,
                    parts,
                    outageMillis,
                    restartMillis,
                    seconds,
                    3,
                    0,
                    false);
        }
    }

    /**
     * What came of it.
     *
     * @param sentAfter the most sends of one cause later than the stable window after its fifth crash
     * @param crashes crashes under causes
     * @param sound sound requests
     * @param soundRefused those that were refused
     * @param worstSecondRefused the largest share of sound requests refused in a second
     * @param related sound requests that share a cause's first part, from twice the stable window after its fifth crash
     *     on
     * @param relatedRefused the share of these that were refused
     */
    record Result(
            int sentAfter,
            int crashes,
            int sound,
            int soundRefused,
            double worstSecondRefused,
            int related,
            double relatedRefused) {}

    private record Event(long at, long sequence, Runnable run) {}

    private static final class Request {
        private final List<Feature> features = new ArrayList<>();
        private int cause = -1;
        private Relay relay;
        private long sentAt;
        private boolean gone;
    }

    private static final class Relay {
        private Quarantine quarantine = new Quarantine();
        private long startedAt;
        private long readUntil;
        private int recordsRead;
        private long nextClaimAt;
    }

    private final Mix mix;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final List<Relay> relays = new ArrayList<>();
    private final List<Set<Request>> running = new ArrayList<>();
    private final long[] downUntil;
    private final int[] starts;
    private final Map<Integer, List<Long>> crashTimes = new HashMap<>();
    private final Map<Integer, Integer> sentAfter = new HashMap<>();
    private final Map<Long, int[]> seconds = new HashMap<>();
    private final Set<Cause> records = new HashSet<>();
    private final Map<Cause, Integer> trials = new HashMap<>();
    private final List<TargetCrash> crashRecords = new ArrayList<>();
    private int recordsWritten;
    private long now;
    private long sequence;
    private int sound;
    private int soundRefused;
    private int related;
    private int relatedRefused;

    QuarantineModel(Mix mix, long seed) {
        this.mix = mix;
        random = new Random(seed);
        downUntil = new long[mix.targets()];
        starts = new int[mix.targets()];
        for (int relay = 0; relay < mix.relays(); relay++) {
            relays.add(new Relay());
        }
        for (int target = 0; target < mix.targets(); target++) {
            running.add(new LinkedHashSet<>());
        }
    }

    Result play() {
        for (int request = 0; request < mix.perSecond() * mix.seconds(); request++) {
            long when = random.nextInt(mix.seconds() * 1_000);
            if (when >= mix.soundFromMillis()) {
                at(when, () -> send(soundRequest()));
            }
        }
        for (int cause = 0; cause < mix.causes(); cause++) {
            int bursts = (int) (mix.causePerSecond() * mix.seconds() / mix.burst());
            for (int burst = 0; burst < bursts; burst++) {
                long when = mix.alternating() ? inTurn(cause, burst) : random.nextInt(mix.seconds() * 1_000);
                for (int each = 0; each < mix.burst(); each++) {
                    int number = cause;
                    at(when, () -> send(request(number)));
                }
            }
        }
        for (long at = SWEEP_MILLIS; at < mix.seconds() * 1_000L; at += SWEEP_MILLIS) {
            at(at, () -> relays.forEach(relay -> relay.quarantine.expire(now)));
        }
        for (long at = mix.outageMillis(); at > 0 && at < mix.seconds() * 1_000L; at += mix.outageMillis()) {
            at(at, this::outage);
        }
        for (long at = mix.restartMillis(); at > 0 && at < mix.seconds() * 1_000L; at += mix.restartMillis()) {
            at(at, this::restart);
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            now = next.at();
            next.run().run();
        }
        return new Result(
                sentAfter.values().stream().mapToInt(Integer::intValue).max().orElse(0),
                crashTimes.values().stream().mapToInt(List::size).sum(),
                sound,
                soundRefused,
                seconds.values().stream()
                        .mapToDouble(each -> (double) each[1] / each[0])
                        .max()
                        .orElse(0),
                related,
                related == 0 ? 0 : (double) relatedRefused / related);
    }

    private long inTurn(int cause, int burst) {
        return (long) ((burst * mix.causes() + cause) * 1_000 * mix.burst() / (mix.causePerSecond() * mix.causes()));
    }

    private void at(long time, Runnable run) {
        events.add(new Event(time, sequence++, run));
    }

    private static Feature part(String name, int number) {
        return new Feature(Feature.Kind.PART, name + number);
    }

    private int popular(int bound) {
        return (int) (bound * Math.pow(random.nextDouble(), 3));
    }

    private Request request(int cause) {
        Request request = new Request();
        int first = cause >= 0 ? cause % mix.parts() : popular(mix.parts());
        request.features.add(part("first", first));
        if (random.nextBoolean()) {
            request.features.add(part("second", first * 10 + popular(10)));
        }
        if (cause >= 0) {
            request.cause = cause;
            request.features.add(part("cause", cause));
        }
        request.features.add(new Feature(Feature.Kind.LAST_PART, Integer.toHexString(random.nextInt())));
        request.features.add(new Feature(Feature.Kind.REQUEST, Integer.toHexString(random.nextInt())));
        request.features.add(
                new Feature(Feature.Kind.CUSTOMER, "customer" + (cause >= 0 ? 0 : random.nextInt(mix.customers()))));
        return request;
    }

    private Request soundRequest() {
        return request(-1);
    }

    private boolean crashes(Request request) {
        return request.cause >= 0 && now >= mix.beforeMillis();
    }

    private void send(Request request) {
        request.relay = relays.get(random.nextInt(relays.size()));
        boolean refused = isRefused(request.relay, request.features);
        if (request.cause < 0) {
            countSound(request, refused);
        }
        List<Integer> up = new ArrayList<>();
        for (int target = 0; target < mix.targets(); target++) {
            if (downUntil[target] <= now) {
                up.add(target);
            }
        }
        if (refused || up.isEmpty()) {
            return;
        }
        if (crashes(request) && now > fifthCrash(request.cause) + STABLE_WINDOW_MILLIS) {
            sentAfter.merge(request.cause, 1, Integer::sum);
        }
        int target = up.get(random.nextInt(up.size()));
        request.sentAt = now;
        running.get(target).add(request);
        if (crashes(request)) {
            at(now + 50 + random.nextInt(150), () -> endOf(target, request));
        } else {
            long millis = 100 + random.nextInt(2_000);
            if (millis > 100 + Quarantine.RUNNING_MILLIS) {
                at(now + 100 + Quarantine.RUNNING_MILLIS, () -> goOn(request));
            }
            at(now + millis, () -> answer(target, request));
        }
    }

    private long fifthCrash(int cause) {
        List<Long> times = crashTimes.getOrDefault(cause, List.of());
        return times.size() < 5 ? Long.MAX_VALUE / 2 : times.get(4);
    }

    private void countSound(Request request, boolean refused) {
        sound++;
        soundRefused += refused ? 1 : 0;
        int[] second = seconds.computeIfAbsent(now / 1_000, unseen -> new int[2]);
        second[0]++;
        second[1] += refused ? 1 : 0;
        for (int cause = 0; cause < mix.causes(); cause++) {
            boolean shares = request.features.contains(part("first", cause % mix.parts()));
            if (shares && now > fifthCrash(cause) + 2 * STABLE_WINDOW_MILLIS) {
                related++;
                relatedRefused += refused ? 1 : 0;
            }
        }
    }

    private boolean isRefused(Relay relay, List<Feature> features) {
        Quarantine quarantine = relay.quarantine;
        if (quarantine.remainingMillis(features, now).isEmpty() || quarantine.takeTrial(features, now)) {
            return false;
        }
        quarantine.causeToTry(features, now).ifPresent(cause -> claimTrial(relay, cause));
        return true;
    }

    /** Writes the record of a trial. The store takes it only from a relay that has read all before it. */
    private void claimTrial(Relay relay, Cause cause) {
        if (now < relay.nextClaimAt) {
            return;
        }
        relay.nextClaimAt = now + CLAIM_INTERVAL_MILLIS;
        if (relay.recordsRead < recordsWritten) {
            return;
        }
        Quarantine quarantine = relay.quarantine;
        int number = quarantine.trialsOf(cause) + 1;
        trials.put(cause, number);
        at(now + CLAIM_MILLIS, () -> quarantine.onTrialGranted(cause, number, now));
        toOthers(relay, other -> other.onRecord(cause, number, now));
    }

    private void goOn(Request request) {
        if (!request.gone && request.relay.startedAt <= request.sentAt) {
            request.relay.quarantine.onRunning(request.features, request.sentAt, now);
            share(request.relay);
        }
    }

    private void answer(int target, Request request) {
        if (request.gone) {
            return;
        }
        running.get(target).remove(request);
        if (request.relay.startedAt <= request.sentAt) {
            request.relay.quarantine.onAnswered(request.features, request.sentAt, now);
            share(request.relay);
        }
    }

    private void endOf(int target, Request cause) {
        if (!cause.gone) {
            crashTimes.computeIfAbsent(cause.cause, unseen -> new ArrayList<>()).add(now);
            end(target);
        }
    }

    private void outage() {
        for (int target = 0; target < mix.targets(); target++) {
            if (downUntil[target] <= now) {
                end(target);
            }
        }
    }

    private void end(int target) {
        downUntil[target] = now + DOWN_MILLIS;
        int start = starts[target]++;
        Map<Relay, List<SuspectRequest>> seen = new LinkedHashMap<>();
        for (Request request : running.get(target)) {
            request.gone = true;
            if (request.relay.startedAt <= request.sentAt) {
                seen.computeIfAbsent(request.relay, unseen -> new ArrayList<>())
                        .add(new SuspectRequest(Set.copyOf(request.features), now - request.sentAt));
            }
            if (request.cause < 0 && random.nextBoolean()) {
                Request again = new Request();
                again.features.addAll(request.features);
                at(now + RETRY_MILLIS, () -> send(again));
            }
        }
        running.get(target).clear();
        long crashedAt = now;
        seen.forEach((relay, suspects) ->
                at(now + DETECTION_MILLIS, () -> report(relay, target, start, crashedAt, suspects)));
    }

    private void report(Relay relay, int target, int start, long crashedAt, List<SuspectRequest> suspects) {
        Set<Feature> features = new HashSet<>();
        suspects.forEach(suspect -> features.addAll(suspect.features()));
        TargetCrash crash = new TargetCrash(
                "i-" + target, start, UNIX + crashedAt, suspects, relay.quarantine.answeredAmong(features, now));
        relay.quarantine.onCrash(crash, true, now);
        crashRecords.add(crash);
        toOthers(relay, other -> other.onCrash(crash, false, now));
        share(relay);
    }

    /** Lets all other relays read something, in the order of the log, each with a delay of its own. */
    private void toOthers(Relay relay, Consumer<Quarantine> reading) {
        recordsWritten++;
        relay.recordsRead++;
        for (Relay other : relays) {
            if (other != relay) {
                Quarantine quarantine = other.quarantine;
                other.readUntil = Math.max(other.readUntil, now + 20 + random.nextInt(300));
                at(other.readUntil, () -> {
                    other.recordsRead += other.quarantine == quarantine ? 1 : 0;
                    reading.accept(quarantine);
                });
            }
        }
    }

    private void share(Relay relay) {
        Quarantine quarantine = relay.quarantine;
        for (FeatureAnswer answer : quarantine.takeAnswersToTell()) {
            toOthers(relay, other -> other.onAnswerTold(answer, now));
        }
        for (Cause cause : quarantine.recordsToWrite()) {
            quarantine.onRecordWritten(cause);
            records.add(cause);
            toOthers(relay, other -> other.onRecord(cause, trials.getOrDefault(cause, 0), now));
        }
        List<Cause> outdated = new ArrayList<>(quarantine.recordsToWithdraw());
        outdated.sort(Comparator.comparing(Cause::id));
        for (Cause cause : outdated) {
            quarantine.onRecordWithdrawn(cause, now);
            records.remove(cause);
            toOthers(relay, other -> other.onRecordWithdrawn(cause, now));
        }
    }

    /** One relay starts again and knows what stands in the records of crashes and causes. */
    private void restart() {
        Relay relay = relays.get(random.nextInt(relays.size()));
        relay.quarantine = new Quarantine();
        relay.startedAt = now;
        relay.recordsRead = recordsWritten;
        crashRecords.forEach(crash -> relay.quarantine.onPastCrash(crash, now));
        records.forEach(cause -> relay.quarantine.onListedRecord(cause, trials.getOrDefault(cause, 0), true, now));
    }
}
