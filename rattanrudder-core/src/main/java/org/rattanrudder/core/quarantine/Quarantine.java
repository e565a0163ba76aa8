package org.rattanrudder.core.quarantine;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.rattanrudder.core.quarantine.CauseFinder.Found;
import org.rattanrudder.core.quarantine.CrashEvidence.Crash;

/**
 * Stops sending requests with features that crash every target which runs them.
 *
 * <p>When a target crashes, it isn't known which of its requests was the cause, nor what of that request. The cause is
 * present at each of the crashes, and no request with it gets a response. Relays report the crashes that they see with
 * the features of all requests in flight, in any order, with delays or duplicates. Each works out the causes from all
 * reports, tells the others of responses that speak against them, and keeps shared records of the causes for relays
 * that start later.
 *
 * <pre>{@code
 * quarantine.onCrash(crash, true, now);
 * OptionalLong remaining = quarantine.remainingMillis(features, now);
 * }</pre>
 *
 * <p>All times are milliseconds of a monotonic clock, unless stated otherwise.
 */
public final class Quarantine {
    /** Number of crashes, one after the other, after which a cause is blamed that was never answered. */
    public static final int CRASH_THRESHOLD = 3;

    /** Number of crashes up to which causes that can't be told apart aren't blamed, nor those answered before. */
    public static final int MOST_CRASHES = 5;

    /**
     * Number of crashes, one after the other, from which on requests are refused for any feature that may be the cause:
     * requests with some of them have crashed targets twice after the last of the crashes above.
     */
    static final int ANY_OF_CRASHES = MOST_CRASHES + 2;

    /** How long a cause is quarantined after its last crash. */
    public static final long QUARANTINE_MILLIS = TimeUnit.HOURS.toMillis(1);

    /**
     * How long after a response a feature counts as harmless so far: one that many callers use is in flight at most
     * targets at any time.
     */
    public static final long CLEARED_MILLIS = TimeUnit.MINUTES.toMillis(1);

    /** How long a response has to go on until it shows that its beginning crashes no target. */
    public static final long RUNNING_MILLIS = 500;

    /** How often causes are worked out anew for responses: each takes a look at all reports. */
    private static final long MIN_UPDATE_MILLIS = 100;

    /** Crashes from which on a response with a feature is told: fewer don't blame one that was answered before. */
    private static final int TOLD_CRASHES = CRASH_THRESHOLD - 1;

    private final CrashEvidence evidence = new CrashEvidence();
    private final AnsweredFeatures answers = new AnsweredFeatures(evidence.index()::onAnswerChanged);
    private final AdoptedCauses adopted = new AdoptedCauses(answers);
    private final CauseRecords records = new CauseRecords();
    private final CauseTrials trials = new CauseTrials();
    private final AnswersToTell answersToTell = new AnswersToTell();
    private final FoundCauses found = new FoundCauses(evidence, answers);
    private long answeredUpdateAt = Long.MIN_VALUE / 2;
    private boolean stale;

    /**
     * Whether answers were told, or past crashes read, since the causes were found: many come at once, and the causes
     * are found once.
     */
    private boolean outdated;

    /**
     * Records the crash of a target. A report that was recorded before adds nothing: it may be read again.
     *
     * @param seenLocally whether this relay saw the crash itself; relays that did write and remove the shared record
     */
    public void onCrash(TargetCrash crash, boolean seenLocally, long nowMillis) {
        updateIfOutdated();
        List<TargetCrash.SuspectRequest> requests = evidence.newRequests(crash);
        evidence.add(crash, seenLocally, true, nowMillis);
        adopted.onCrash(requests, seenLocally, nowMillis);
        update();
    }

    /**
     * Records a crash from before this relay started. It blames nothing by itself, since it isn't known which requests
     * have had a response since.
     */
    public void onPastCrash(TargetCrash crash, long nowMillis) {
        evidence.add(crash, false, false, nowMillis);
        outdated = true;
    }

    /** Returns those of the given features that had an answer lately. */
    public Set<Feature> answeredAmong(Collection<Feature> features, long nowMillis) {
        return features.stream()
                .filter(feature -> answers.wasAnswered(feature, nowMillis))
                .collect(Collectors.toSet());
    }

    /**
     * Records that a target responded to a request, whose features therefore didn't crash it.
     *
     * @param sentAt when the request was sent to the target
     */
    public void onAnswered(Collection<Feature> features, long sentAt, long nowMillis) {
        updateIfOutdated();
        long clears = isEmpty() ? 0 : lastCrashBefore(sentAt);
        Set<Feature> cleared = new LinkedHashSet<>();
        for (Feature feature : features) {
            boolean suspected = isSuspected(feature);
            boolean news = answers.record(new FeatureAnswer(feature, clears), nowMillis);
            if (suspected && news) {
                cleared.add(feature);
            }
        }
        if (!cleared.isEmpty()) {
            cleared.forEach(feature -> tell(new FeatureAnswer(feature, clears), nowMillis));
            removeAnswered(cleared, sentAt, true);
            updateAfterAnswer(nowMillis);
        }
    }

    /** Works out the causes anew, but not for each of many answers at once: the rest is done with the next sweep. */
    private void updateAfterAnswer(long nowMillis) {
        stale = nowMillis - answeredUpdateAt < MIN_UPDATE_MILLIS;
        if (!stale) {
            answeredUpdateAt = nowMillis;
            update();
        }
    }

    /**
     * Records that a target has sent its response to a request for {@link #RUNNING_MILLIS}. What crashes targets as
     * they begin to respond isn't among its features; the request as a whole may still crash its target.
     *
     * @param sentAt when the request was sent to the target
     */
    public void onRunning(Collection<Feature> features, long sentAt, long nowMillis) {
        onAnswered(features.stream().filter(feature -> !feature.isRequest()).toList(), sentAt, nowMillis);
    }

    /** Returns the Unix time of the last crash that this relay had heard of at a time; 0 if there was none. */
    private long lastCrashBefore(long timeMillis) {
        return evidence.crashes().stream()
                .filter(crash -> crash.seenAt() <= timeMillis)
                .mapToLong(Crash::atMillis)
                .max()
                .orElse(0);
    }

    private boolean isSuspected(Feature feature) {
        return found.isSuspected(feature) || adopted.hasFeature(feature);
    }

    private void tell(FeatureAnswer answer, long nowMillis) {
        boolean blamed = Stream.concat(found.causes(), adopted.causes().stream())
                .anyMatch(cause -> cause.features().contains(answer.feature()));
        if (!blamed && found.suspectedCrashes(answer.feature()) < TOLD_CRASHES) {
            return;
        }
        answersToTell.add(answer, nowMillis);
    }

    /** Records that another relay has told of a response with a feature. */
    public void onAnswerTold(FeatureAnswer answer, long nowMillis) {
        answersToTell.onTold(answer, nowMillis);
        answers.record(answer, nowMillis);
        removeAnswered(Set.of(answer.feature()), answer.clearsUpToMillis() > 0 ? nowMillis : 0, false);
        outdated = true;
    }

    /** Returns the responses that other relays have to know of, and regards them as told. */
    public List<FeatureAnswer> takeAnswersToTell() {
        return answersToTell.take();
    }

    /** Takes back answers that couldn't be told; newer ones stay. */
    public void onAnswersUntold(List<FeatureAnswer> untold) {
        answersToTell.onUntold(untold);
    }

    /** Removes answered features from the causes of shared records. */
    private void removeAnswered(Set<Feature> features, long sentAt, boolean ownAnswer) {
        adopted.removeAnswered(features, sentAt);
        if (ownAnswer) {
            records.withdrawIf(cause ->
                    features.stream().anyMatch(cause.features()::contains) && (cause.anyOf() || !isLeft(cause)));
        }
    }

    /** Returns whether features of a recorded cause are left of which no answer is known. */
    private boolean isLeft(Cause cause) {
        Set<Feature> cleared = cause.features().stream()
                .filter(feature -> answers.wasAnswered(feature, 0))
                .collect(Collectors.toSet());
        return cause.without(cleared).isSpecific();
    }

    /**
     * Handles a shared record of a cause that another relay has just found. This relay has the same reports and goes by
     * them, but tells of responses that the other one may not know.
     *
     * @param trialsSoFar how often it was tried
     */
    public void onRecord(Cause cause, int trialsSoFar, long nowMillis) {
        updateIfOutdated();
        trials.onTold(cause, trialsSoFar, nowMillis);
        records.onRecorded(cause);
        if (!cause.answeredBefore() && !found.contains(cause)) {
            answeredAmong(cause.features(), nowMillis)
                    .forEach(feature ->
                            answersToTell.add(new FeatureAnswer(feature, answers.clearsUpTo(feature)), nowMillis));
        }
    }

    /**
     * Handles a shared record of a cause from a listing: the reports that it rests on may be gone.
     *
     * @param trialsSoFar how often it was tried
     * @param foundAtStart whether it was written before this relay started; the relay that should remove it may be gone
     */
    public void onListedRecord(Cause cause, int trialsSoFar, boolean foundAtStart, long nowMillis) {
        onRecord(cause, trialsSoFar, nowMillis);
        adopt(cause, foundAtStart, nowMillis);
    }

    /** Handles a record from after the listing: of crashes before its start a relay can't find the cause by itself. */
    public void onUnlistedRecord(Cause cause, int trialsSoFar, long nowMillis) {
        updateIfOutdated();
        boolean known = records.isRecorded(cause);
        onRecord(cause, trialsSoFar, nowMillis);
        if (!known && evidence.hasPastCrash(cause)) {
            adopt(cause, false, nowMillis);
        }
    }

    private void adopt(Cause cause, boolean foundAtStart, long nowMillis) {
        if (found.contains(cause) || records.isToWithdraw(cause)) {
            return;
        }
        Cause left = cause.answeredBefore() ? cause : adopted.withoutAnswered(cause, nowMillis);
        if (left.isSpecific()) {
            adopted.adopt(left, foundAtStart, nowMillis);
        } else {
            records.withdraw(cause);
        }
    }

    /** Handles that this relay has written the record of a cause: it replaces those of less certain ones. */
    public void onRecordWritten(Cause cause) {
        updateIfOutdated();
        records.withdrawIf(each -> !found.contains(each) && each.features().containsAll(cause.features()));
        records.onWritten(cause);
        if (!found.contains(cause) && !adopted.contains(cause) && !isLeft(cause)) {
            records.withdraw(cause);
        }
    }

    /** Handles that another relay has withdrawn its record, since the cause is another one or its time has passed. */
    public void onRecordWithdrawn(Cause cause, long nowMillis) {
        updateIfOutdated();
        records.onWithdrawn(cause);
        adopted.onRecordWithdrawn(cause, nowMillis);
    }

    /** Handles a release by hand: requests may be sent again, and their next crash quarantines them anew. */
    public void onReleased(Cause cause, long nowMillis) {
        onRecordWithdrawn(cause, nowMillis);
        adopted.lapse(cause, nowMillis);
        update();
    }

    /** Handles a listing of all records: records that were lost are written again. */
    public void onRecordsListed(Set<Cause> listed) {
        updateIfOutdated();
        records.onListed(listed);
    }

    /** Forgets what is too old, and lifts quarantines whose time has passed. */
    public void expire(long nowMillis) {
        updateIfOutdated();
        boolean changed = evidence.removeBefore(nowMillis - 2 * QUARANTINE_MILLIS) || stale;
        adopted.expireLapsed(nowMillis);
        answersToTell.expire(nowMillis);
        trials.expire(nowMillis);
        for (Cause cause : adopted.expired(nowMillis)) {
            expireRecord(cause, adopted.isFoundAtStart(cause));
            adopted.lapse(cause, nowMillis);
        }
        for (Found each : found.all()) {
            if (nowMillis - each.lastSeenAt() >= QUARANTINE_MILLIS) {
                expireRecord(each.cause(), each.isSeenLocally());
                adopted.lapse(each.cause(), nowMillis);
            }
        }
        if (changed || found.causes().anyMatch(adopted::hasLapsed)) {
            update();
        }
    }

    private void expireRecord(Cause cause, boolean ownsRecord) {
        if (ownsRecord && records.isRecorded(cause)) {
            records.withdraw(cause);
        }
    }

    /** Works out the causes anew if what they rest on has changed since. */
    private void updateIfOutdated() {
        if (outdated) {
            update();
        }
    }

    /** Works out the causes anew. */
    private void update() {
        stale = false;
        outdated = false;
        found.update(each -> each.lastSeenAt() > adopted.lapsedAt(each.cause()).orElse(Long.MIN_VALUE));
        records.withdrawOwnIf(cause -> !found.contains(cause) && !adopted.contains(cause));
    }

    /** Returns for how much longer a request with the given features is quarantined; empty if it isn't. */
    public OptionalLong remainingMillis(Collection<Feature> request, long nowMillis) {
        return causes(request)
                .mapToLong(cause -> remainingMillis(cause, nowMillis))
                .max();
    }

    private long remainingMillis(Cause cause, long nowMillis) {
        return Math.max(0, since(cause) + QUARANTINE_MILLIS - nowMillis);
    }

    private long since(Cause cause) {
        return found.lastSeenAt(cause).orElseGet(() -> adopted.since(cause));
    }

    private Stream<Cause> causes(Collection<Feature> request) {
        Set<Cause> all = causes();
        Set<Feature> features = all.isEmpty() ? Set.of() : new HashSet<>(request);
        return all.stream().filter(cause -> cause.matches(features));
    }

    /** Returns the causes that are quarantined. */
    public Set<Cause> causes() {
        updateIfOutdated();
        Set<Cause> all = new HashSet<>(adopted.causes());
        found.causes().forEach(all::add);
        return all;
    }

    /** Returns the targets whose crashes a cause is blamed for; empty if it is known from a shared record only. */
    public List<String> crashedTargets(Cause cause) {
        updateIfOutdated();
        return found.crashedTargets(cause);
    }

    /** Returns the cause for which a request with the given features is refused, as text; empty if it isn't refused. */
    public String causeOf(Collection<Feature> request) {
        return causes(request).map(Cause::toText).sorted().findFirst().orElse("");
    }

    /**
     * Returns the cause that may be tried by a request with the given features; empty if it has none, or several. The
     * relay has to get hold of the trial first, see {@link #onTrialGranted}.
     */
    public Optional<Cause> causeToTry(Collection<Feature> request, long nowMillis) {
        List<Cause> matching = causes(request).toList();
        if (matching.size() != 1) {
            return Optional.empty();
        }
        Cause cause = matching.get(0);
        return trials.isDue(cause, found.alternativesTo(cause), request, since(cause), nowMillis)
                ? Optional.of(cause)
                : Optional.empty();
    }

    /** Returns how often a cause was tried, or another one that has a feature in common with it. */
    public int trialsOf(Cause cause) {
        return trials.number(cause);
    }

    /** Records that this relay alone may send one request to try a cause. */
    public void onTrialGranted(Cause cause, int number, long nowMillis) {
        trials.onGranted(cause, number, nowMillis);
    }

    /** Takes the permit to send a request with the given features although it is quarantined, if there is one. */
    public boolean takeTrial(Collection<Feature> request, long nowMillis) {
        List<Cause> matching = causes(request).toList();
        if (matching.size() != 1) {
            return false;
        }
        Cause cause = matching.get(0);
        return trials.take(cause, found.alternativesTo(cause), request, since(cause), nowMillis);
    }

    /** Returns whether several rarer causes may explain the crashes of a cause in its place. */
    public boolean isInDoubt(Cause cause) {
        updateIfOutdated();
        return found.alternativesTo(cause).isDoubtful();
    }

    /** Returns whether one more crash would quarantine a request with the given features. */
    public boolean isOneCrashFromQuarantine(Collection<Feature> request, long nowMillis) {
        updateIfOutdated();
        return request.stream().anyMatch(found::isNearlyBlamed) || adopted.isLapsedMatchedBy(request, nowMillis);
    }

    /** Returns whether any cause is quarantined. */
    public boolean hasCauses() {
        updateIfOutdated();
        return !found.all().isEmpty() || !adopted.causes().isEmpty();
    }

    /** Returns whether nothing is suspected or quarantined. */
    public boolean isEmpty() {
        return evidence.isEmpty() && adopted.isEmpty();
    }

    /** Returns the number of features that may be the cause of a crash. */
    public int suspectCount() {
        updateIfOutdated();
        return found.suspectCount();
    }

    /** Returns the number of causes that are quarantined. */
    public int quarantinedCount() {
        return causes().size();
    }

    /** Returns the causes whose record this relay has to write. */
    public List<Cause> recordsToWrite() {
        updateIfOutdated();
        return found.all().stream()
                .filter(Found::isSeenLocally)
                .map(Found::cause)
                .filter(cause -> !records.isRecorded(cause) && !records.isToWithdraw(cause))
                .toList();
    }

    /** Returns the causes whose record this relay has to withdraw. */
    public List<Cause> recordsToWithdraw() {
        updateIfOutdated();
        return records.toWithdraw();
    }
}
