package org.rattanrudder.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Keeps a request that ends each target which runs it from further targets.
 *
 * <p>When a target ends, nothing tells which of its requests was the cause. The cause is there each time and is never
 * answered, while others are, before or after. So a request is quarantined if it was at several targets when they ended
 * and none has answered it of late. Other relays report what they saw, in any order, late or twice, and keep a record
 * of what is quarantined.
 *
 * <pre>{@code
 * quarantine.crashed(crash, true, now);
 * OptionalLong left = quarantine.leftMillis(fingerprint, now);
 * }</pre>
 *
 * <p>All times are milliseconds of one steady clock.
 */
public final class Quarantine {
    /** Ends of targets after which a request is quarantined: fewer may befall one that only ran beside the cause. */
    public static final int CRASH_THRESHOLD = 3;

    /** How long a request is quarantined, and how long the last end of a target is held against it, in ms. */
    public static final long QUARANTINE_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** How long after an answer a request isn't suspected, in ms: what many ask for is at most targets at any time. */
    public static final long CLEARED_MILLIS = TimeUnit.MINUTES.toMillis(1);

    /** The most requests that are suspected at once; those whose last end was longest ago give way. */
    static final int MOST_SUSPECTS = 20_000;

    /** The most requests whose answer is remembered; those that were answered longest ago give way. */
    static final int MOST_CLEARED = 4_000;

    /** By the time of the last end, the oldest first. */
    private final Map<RequestFingerprint, Suspect> suspects = new LinkedHashMap<>();

    private final Map<RequestFingerprint, Held> held = new HashMap<>();
    private final Set<RequestFingerprint> recordsToRemove = new HashSet<>();

    /** By the time of the last answer, the oldest first. */
    private final Map<RequestFingerprint, Long> answeredAt = new LinkedHashMap<>();

    /** One start of a target. */
    private record Start(String target, long startedAt) {}

    private static final class Suspect {
        private final Set<Start> crashes = new HashSet<>();
        private int crashesBefore;
        private boolean seenHere;
        private long lastAt;

        int crashes() {
            return crashesBefore + crashes.size();
        }
    }

    private static final class Held {
        private final long since;
        private final boolean keepsRecord;
        private boolean recorded;

        Held(long since, boolean keepsRecord) {
            this.since = since;
            this.keepsRecord = keepsRecord;
        }
    }

    /**
     * Notes the end of a target.
     *
     * @param seenHere whether this relay saw it itself: those that did write and remove the record
     */
    public void onCrash(TargetCrash crash, boolean seenHere, long nowMillis) {
        for (RequestFingerprint request : suspectable(crash.requests(), nowMillis)) {
            Suspect suspect = suspect(request, crash, nowMillis);
            suspect.seenHere |= seenHere;
            if (suspect.crashes() >= CRASH_THRESHOLD) {
                suspects.remove(request);
                held.put(request, new Held(nowMillis, suspect.seenHere));
            }
        }
        bound(suspects.keySet(), MOST_SUSPECTS);
    }

    /**
     * Notes the end of a target from before this relay was there. It quarantines nothing by itself: which requests were
     * answered since isn't known.
     */
    public void onPastCrash(TargetCrash crash, long nowMillis) {
        suspectable(crash.requests(), nowMillis).forEach(request -> suspect(request, crash, nowMillis));
        bound(suspects.keySet(), MOST_SUSPECTS);
    }

    /** Returns those of some requests against which the end of a target may be held. */
    public Set<RequestFingerprint> suspectable(Set<RequestFingerprint> requests, long nowMillis) {
        return requests.stream()
                .filter(request -> !held.containsKey(request) && !isCleared(request, nowMillis))
                .collect(Collectors.toSet());
    }

    private boolean isCleared(RequestFingerprint request, long nowMillis) {
        Long answered = answeredAt.get(request);
        return answered != null && nowMillis - answered < CLEARED_MILLIS;
    }

    private static void bound(Set<RequestFingerprint> requests, int most) {
        Iterator<RequestFingerprint> oldest = requests.iterator();
        while (requests.size() > most) {
            oldest.next();
            oldest.remove();
        }
    }

    private Suspect suspect(RequestFingerprint request, TargetCrash crash, long nowMillis) {
        Suspect suspect = moved(request, nowMillis);
        suspect.crashes.add(new Start(crash.target(), crash.startedAt()));
        return suspect;
    }

    /** Returns what is held against a request, put behind all others. */
    private Suspect moved(RequestFingerprint request, long nowMillis) {
        Suspect known = suspects.remove(request);
        Suspect suspect = known == null ? new Suspect() : known;
        suspect.lastAt = nowMillis;
        suspects.put(request, suspect);
        return suspect;
    }

    /**
     * Notes a record that a request is quarantined.
     *
     * @param foundAtStart whether it was there before this relay: nobody may be left who removes it
     */
    public void onRecord(RequestFingerprint request, boolean foundAtStart, long nowMillis) {
        if (recordsToRemove.contains(request)) {
            return;
        }
        if (isCleared(request, nowMillis)) {
            recordsToRemove.add(request);
            return;
        }
        suspects.remove(request);
        Held known = held.computeIfAbsent(request, unseen -> new Held(nowMillis, foundAtStart));
        known.recorded = true;
    }

    /** Notes that this relay has recorded a request; one that was answered meanwhile must not stay recorded. */
    public void onRecordWritten(RequestFingerprint request) {
        Held known = held.get(request);
        if (known == null) {
            recordsToRemove.add(request);
        } else {
            known.recorded = true;
        }
    }

    /** Notes that the record of a request was removed: it may be sent again, and the next end quarantines it anew. */
    public void onRecordRemoved(RequestFingerprint request, long nowMillis) {
        recordsToRemove.remove(request);
        if (held.remove(request) != null) {
            moved(request, nowMillis).crashesBefore = CRASH_THRESHOLD - 1;
        }
    }

    /** Notes the requests of which there are records: what others have lost is written again. */
    public void onRecordsListed(Set<RequestFingerprint> recorded) {
        held.forEach((request, known) -> known.recorded = recorded.contains(request));
    }

    /** Notes that a target has answered a request, which so is no cause of any end. */
    public void onAnswered(RequestFingerprint request, long nowMillis) {
        answeredAt.remove(request);
        answeredAt.put(request, nowMillis);
        bound(answeredAt.keySet(), MOST_CLEARED);
        suspects.remove(request);
        Held known = held.remove(request);
        if (known != null && known.recorded) {
            recordsToRemove.add(request);
        }
    }

    /** Lets go what has been held for long enough. */
    public void expire(long nowMillis) {
        Iterator<Suspect> oldest = suspects.values().iterator();
        while (oldest.hasNext() && nowMillis - oldest.next().lastAt >= QUARANTINE_MILLIS) {
            oldest.remove();
        }
        for (RequestFingerprint request : List.copyOf(held.keySet())) {
            Held known = held.get(request);
            if (nowMillis - known.since >= QUARANTINE_MILLIS) {
                onRecordRemoved(request, nowMillis);
                if (known.recorded && known.keepsRecord) {
                    recordsToRemove.add(request);
                }
            }
        }
    }

    /** Returns for how much longer a request is quarantined, in ms; empty if it isn't. */
    public OptionalLong remainingMillis(RequestFingerprint request, long nowMillis) {
        Held known = held.get(request);
        return known == null
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, known.since + QUARANTINE_MILLIS - nowMillis));
    }

    /** Returns whether the next end of a target under a request would quarantine it. */
    public boolean isOneCrashFromQuarantine(RequestFingerprint request) {
        Suspect suspect = suspects.get(request);
        return suspect != null && suspect.crashes() >= CRASH_THRESHOLD - 1;
    }

    /** Returns whether nothing is held against any request. */
    public boolean isEmpty() {
        return suspects.isEmpty() && held.isEmpty();
    }

    /** Returns how many requests are suspected. */
    public int suspectCount() {
        return suspects.size();
    }

    /** Returns how many requests are quarantined. */
    public int quarantinedCount() {
        return held.size();
    }

    /** Returns the requests whose quarantine this relay has to record. */
    public List<RequestFingerprint> recordsToWrite() {
        return held.entrySet().stream()
                .filter(entry -> entry.getValue().keepsRecord && !entry.getValue().recorded)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the requests whose record this relay has to remove. */
    public List<RequestFingerprint> recordsToRemove() {
        return List.copyOf(recordsToRemove);
    }
}
