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
 * Stops sending a request that crashes every target which runs it.
 *
 * <p>When a target crashes, it isn't known which of its requests was the cause. The cause is present at each crash and
 * never gets a response, while other requests do, before or after. A request is therefore quarantined if it was at
 * several targets when they crashed and has had no recent response. Relays report the crashes that they see, in any
 * order, with delays or duplicates, and keep a shared record of each quarantined request.
 *
 * <pre>{@code
 * quarantine.onCrash(crash, true, now);
 * OptionalLong remaining = quarantine.remainingMillis(fingerprint, now);
 * }</pre>
 *
 * <p>All times are milliseconds of a monotonic clock.
 */
public final class Quarantine {
    /**
     * Number of crashes after which a request is quarantined; fewer may hit a request that merely ran beside the cause.
     */
    public static final int CRASH_THRESHOLD = 3;

    /** How long a request is quarantined, and how long it stays suspect after its last crash. */
    public static final long QUARANTINE_MILLIS = TimeUnit.HOURS.toMillis(1);

    /**
     * How long after a response a request can't become suspect: a request that many callers send is in flight at most
     * targets at any time.
     */
    public static final long CLEARED_MILLIS = TimeUnit.MINUTES.toMillis(1);

    /** Maximum number of suspects; those whose last crash is oldest are evicted. */
    static final int MAX_SUSPECTS = 20_000;

    /** Maximum number of requests whose response is remembered; those with the oldest response are evicted. */
    static final int MAX_CLEARED = 4_000;

    /** Ordered by the time of the last crash, oldest first. */
    private final Map<RequestFingerprint, Suspect> suspects = new LinkedHashMap<>();

    private final Map<RequestFingerprint, QuarantinedRequest> quarantined = new HashMap<>();
    private final Set<RequestFingerprint> recordsToRemove = new HashSet<>();

    /** Ordered by the time of the last response, oldest first. */
    private final Map<RequestFingerprint, Long> answeredAt = new LinkedHashMap<>();

    /** One start of a target. */
    private record TargetStart(String target, long startedAt) {}

    private static final class Suspect {
        private final Set<TargetStart> crashes = new HashSet<>();
        private int carriedCrashes;
        private boolean seenLocally;
        private long lastCrashAt;

        int crashes() {
            return carriedCrashes + crashes.size();
        }
    }

    private static final class QuarantinedRequest {
        private final long sinceMillis;
        private final boolean ownsRecord;
        private boolean recorded;

        QuarantinedRequest(long sinceMillis, boolean ownsRecord) {
            this.sinceMillis = sinceMillis;
            this.ownsRecord = ownsRecord;
        }
    }

    /**
     * Records the crash of a target.
     *
     * @param seenLocally whether this relay saw the crash itself; relays that did write and remove the shared record
     */
    public void onCrash(TargetCrash crash, boolean seenLocally, long nowMillis) {
        for (RequestFingerprint request : suspectable(crash.requests(), nowMillis)) {
            Suspect suspect = suspect(request, crash, nowMillis);
            suspect.seenLocally |= seenLocally;
            if (suspect.crashes() >= CRASH_THRESHOLD) {
                suspects.remove(request);
                quarantined.put(request, new QuarantinedRequest(nowMillis, suspect.seenLocally));
            }
        }
        trim(suspects.keySet(), MAX_SUSPECTS);
    }

    /**
     * Records a crash from before this relay started. It doesn't quarantine a request by itself, since it isn't known
     * which requests have had a response since.
     */
    public void onPastCrash(TargetCrash crash, long nowMillis) {
        suspectable(crash.requests(), nowMillis).forEach(request -> suspect(request, crash, nowMillis));
        trim(suspects.keySet(), MAX_SUSPECTS);
    }

    /** Returns those of the given requests that may become suspect. */
    public Set<RequestFingerprint> suspectable(Set<RequestFingerprint> requests, long nowMillis) {
        return requests.stream()
                .filter(request -> !quarantined.containsKey(request) && !isCleared(request, nowMillis))
                .collect(Collectors.toSet());
    }

    private boolean isCleared(RequestFingerprint request, long nowMillis) {
        Long answered = answeredAt.get(request);
        return answered != null && nowMillis - answered < CLEARED_MILLIS;
    }

    private static void trim(Set<RequestFingerprint> requests, int maxSize) {
        Iterator<RequestFingerprint> oldest = requests.iterator();
        while (requests.size() > maxSize) {
            oldest.next();
            oldest.remove();
        }
    }

    private Suspect suspect(RequestFingerprint request, TargetCrash crash, long nowMillis) {
        Suspect suspect = moveToEnd(request, nowMillis);
        suspect.crashes.add(new TargetStart(crash.target(), crash.startedAt()));
        return suspect;
    }

    /** Returns the state of a suspect, creating it if needed, and moves it to the end of the order. */
    private Suspect moveToEnd(RequestFingerprint request, long nowMillis) {
        Suspect known = suspects.remove(request);
        Suspect suspect = known == null ? new Suspect() : known;
        suspect.lastCrashAt = nowMillis;
        suspects.put(request, suspect);
        return suspect;
    }

    /**
     * Handles a shared record that a request is quarantined.
     *
     * @param foundAtStart whether it was written before this relay started; the relay that should remove it may be gone
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
        QuarantinedRequest known =
                quarantined.computeIfAbsent(request, unseen -> new QuarantinedRequest(nowMillis, foundAtStart));
        known.recorded = true;
    }

    /**
     * Handles that this relay has written the record of a request. If the request had a response meanwhile, the record
     * has to be removed again.
     */
    public void onRecordWritten(RequestFingerprint request) {
        QuarantinedRequest known = quarantined.get(request);
        if (known == null) {
            recordsToRemove.add(request);
        } else {
            known.recorded = true;
        }
    }

    /** Handles the removal of a record: the request may be sent again, and its next crash quarantines it anew. */
    public void onRecordRemoved(RequestFingerprint request, long nowMillis) {
        recordsToRemove.remove(request);
        if (quarantined.remove(request) != null) {
            moveToEnd(request, nowMillis).carriedCrashes = CRASH_THRESHOLD - 1;
        }
    }

    /** Handles a listing of all records: records that were lost are written again. */
    public void onRecordsListed(Set<RequestFingerprint> recorded) {
        quarantined.forEach((request, known) -> known.recorded = recorded.contains(request));
    }

    /** Records that a target responded to a request, which therefore can't be the cause of a crash. */
    public void onAnswered(RequestFingerprint request, long nowMillis) {
        answeredAt.remove(request);
        answeredAt.put(request, nowMillis);
        trim(answeredAt.keySet(), MAX_CLEARED);
        suspects.remove(request);
        QuarantinedRequest known = quarantined.remove(request);
        if (known != null && known.recorded) {
            recordsToRemove.add(request);
        }
    }

    /** Removes suspects and quarantined requests whose time has passed. */
    public void expire(long nowMillis) {
        Iterator<Suspect> oldest = suspects.values().iterator();
        while (oldest.hasNext() && nowMillis - oldest.next().lastCrashAt >= QUARANTINE_MILLIS) {
            oldest.remove();
        }
        for (RequestFingerprint request : List.copyOf(quarantined.keySet())) {
            QuarantinedRequest known = quarantined.get(request);
            if (nowMillis - known.sinceMillis >= QUARANTINE_MILLIS) {
                onRecordRemoved(request, nowMillis);
                if (known.recorded && known.ownsRecord) {
                    recordsToRemove.add(request);
                }
            }
        }
    }

    /** Returns for how much longer a request is quarantined; empty if it isn't. */
    public OptionalLong remainingMillis(RequestFingerprint request, long nowMillis) {
        QuarantinedRequest known = quarantined.get(request);
        return known == null
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, known.sinceMillis + QUARANTINE_MILLIS - nowMillis));
    }

    /** Returns whether one more crash would quarantine a request. */
    public boolean isOneCrashFromQuarantine(RequestFingerprint request) {
        Suspect suspect = suspects.get(request);
        return suspect != null && suspect.crashes() >= CRASH_THRESHOLD - 1;
    }

    /** Returns whether no request is suspect or quarantined. */
    public boolean isEmpty() {
        return suspects.isEmpty() && quarantined.isEmpty();
    }

    /** Returns the number of suspects. */
    public int suspectCount() {
        return suspects.size();
    }

    /** Returns the number of quarantined requests. */
    public int quarantinedCount() {
        return quarantined.size();
    }

    /** Returns the requests whose record this relay has to write. */
    public List<RequestFingerprint> recordsToWrite() {
        return quarantined.entrySet().stream()
                .filter(entry -> entry.getValue().ownsRecord && !entry.getValue().recorded)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the requests whose record this relay has to remove. */
    public List<RequestFingerprint> recordsToRemove() {
        return List.copyOf(recordsToRemove);
    }
}
