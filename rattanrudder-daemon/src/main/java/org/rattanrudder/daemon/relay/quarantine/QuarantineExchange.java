package org.rattanrudder.daemon.relay.quarantine;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.quarantine.Cause;
import org.rattanrudder.core.quarantine.Feature;
import org.rattanrudder.core.quarantine.FeatureAnswer;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.quarantine.TargetCrash;
import org.rattanrudder.core.quarantine.TargetCrash.SuspectRequest;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.net.HttpCallClient;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.QuarantineRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.store.PollIntervals;
import org.rattanrudder.daemon.relay.store.TopicFollower;
import org.rattanrudder.daemon.relay.store.TopicFollower.InitialRead;
import org.rattanrudder.daemon.relay.store.TopicListener;
import org.rattanrudder.daemon.relay.targets.DialResult;

/**
 * Shares crashes of targets, and what is quarantined for them, with peers through the platform's store.
 *
 * <p>Requests that crash targets may come to any relay, and relays restart. Crashes are applied only while they are
 * recent; a quarantine record stays in the store until one of the relays that saw a crash removes it.
 */
public final class QuarantineExchange implements AutoCloseable {
    private static final long WRITE_TIMEOUT_MILLIS = 1_500;

    /** How long this relay doesn't ask again for a trial that it didn't get hold of. */
    private static final long CLAIM_INTERVAL_MILLIS = 1_000;

    /** Limit of crashes that wait to be written while the store is unavailable; the oldest are dropped first. */
    private static final int MAX_UNWRITTEN_CRASHES = 64;

    /** Limit of crashes in one write, and of the text of each: the store takes 2 MB a call and 256 KB a record. */
    private static final int MAX_WRITTEN_CRASHES = 16;

    private static final int MAX_CRASH_CHARACTERS = 60_000;

    private static final int MAX_LOGGED_REQUESTS = 8;

    /** Crashes that were written within this time are written again when the store has come back from a copy. */
    private static final long REWRITTEN_MILLIS = 30_000;

    /** A crash that this relay has observed, and when it was written to the store. */
    private record WrittenCrash(TargetCrash crash, long at) {}

    private final RelayState state;
    private final Quarantine quarantine;
    private final CrashDetector crashDetector;
    private final HttpCallClient writeClient;
    private final HttpCallClient trialClient;
    private final TopicFollower follower;
    private final List<TargetCrash> unwrittenCrashes = new ArrayList<>();
    private final List<WrittenCrash> writtenCrashes = new ArrayList<>();
    private final long startedAtUnixMillis = System.currentTimeMillis();
    private Runnable onWritten = () -> {};
    private LogPosition writtenTo = LogPosition.START;
    private long nextClaimAt;
    private boolean closed;

    /**
     * Creates an exchange that makes no calls until {@link #start}.
     *
     * @param probe dials a target to find out whether it has crashed
     */
    public QuarantineExchange(RelayState state, BiConsumer<Target, Consumer<DialResult>> probe) {
        this.state = state;
        quarantine = state.quarantine();
        crashDetector = new CrashDetector(state.loop(), System::currentTimeMillis);
        crashDetector.setHandlers(probe, this::onCrash, this::logUnconfirmed);
        writeClient = new HttpCallClient(state.connector(), state.heldBytes(), state::store, state.storeCalls());
        trialClient = new HttpCallClient(state.connector(), state.heldBytes(), state::store, state.storeCalls());
        follower = new TopicFollower(
                state, Topic.QUARANTINE, PollIntervals.RARE, InitialRead.NEWEST_AND_KEPT, new RecordListener());
        registerGauges();
    }

    private void registerGauges() {
        state.metrics()
                .gauge(
                        "rattanrudder_relay_requests_suspected",
                        "Requests that were at a target when it ended",
                        () -> quarantine.suspectCount());
        state.metrics()
                .gauge(
                        "rattanrudder_relay_requests_quarantined",
                        "Requests that are sent to no target, since several ended under them",
                        () -> quarantine.quarantinedCount());
    }

    /** Sets what is run after records were written, so that peers read them at once. */
    public void setOnWritten(Runnable newOnWritten) {
        onWritten = newOnWritten;
    }

    /** Starts to read the records of all relays. */
    public void start() {
        follower.start();
    }

    /**
     * Returns the check of one request.
     *
     * @param customer returns the name of its customer, empty if it has none
     * @param fingerprint computes the fingerprint of the request
     * @param features returns what other requests may have in common with it, given its fingerprint
     */
    public QuarantineCheck check(
            Supplier<String> customer,
            Supplier<RequestFingerprint> fingerprint,
            Function<RequestFingerprint, List<Feature>> features) {
        RequestFeatures request = new RequestFeatures(customer, fingerprint, features);
        return new QuarantineCheck(state, crashDetector, this::claimTrial, request);
    }

    /** Handles the records of all relays. */
    private final class RecordListener implements TopicListener {
        private final Map<String, Cause> recorded = new HashMap<>();
        private boolean listedOnce;
        private LogPosition endAtStart = LogPosition.NONE;
        private LogPosition listedEnd = LogPosition.NONE;

        @Override
        public void onRecord(KeyedRecord record) {
            Optional<QuarantineRecord> read = read(record);
            if (read.isPresent() && read.get() instanceof QuarantineRecord.Quarantined quarantined) {
                applyCauseRecord(quarantined, record.position());
            } else {
                read.ifPresent(other -> apply(other, record.position()));
            }
        }

        private void applyCauseRecord(QuarantineRecord.Quarantined quarantined, LogPosition position) {
            Cause cause = quarantined.cause();
            recorded.put(cause.id(), cause);
            if (position.isBefore(listedEnd)) {
                quarantine.onRecord(cause, quarantined.trials(), state.nowMillis());
            } else {
                applyAndLog(() -> quarantine.onUnlistedRecord(cause, quarantined.trials(), state.nowMillis()), "store");
            }
        }

        /** Skips crashes and answers, which may be days old in a listing; recent ones are read after it. */
        @Override
        public void onListedRecord(KeyedRecord record) {
            if (read(record).orElse(null) instanceof QuarantineRecord.Quarantined quarantined) {
                Cause cause = quarantined.cause();
                recorded.put(cause.id(), cause);
                applyAndLog(
                        () -> quarantine.onListedRecord(cause, quarantined.trials(), !listedOnce, state.nowMillis()),
                        "store");
            }
        }

        private Optional<QuarantineRecord> read(KeyedRecord record) {
            return state.platform().store().readQuarantine(record);
        }

        private void apply(QuarantineRecord read, LogPosition position) {
            if (read instanceof QuarantineRecord.Crashed crashed) {
                applyCrashRecord(crashed, position);
            } else if (read instanceof QuarantineRecord.Answered answered && !isRepeated(position)) {
                quarantine.onAnswerTold(answered.answer(), state.nowMillis());
            } else if (position.isBefore(listedEnd)) {
                // The listing holds what became of the record since.
                return;
            } else if (read instanceof QuarantineRecord.Withdrawn withdrawn) {
                recorded.remove(withdrawn.cause().id());
                quarantine.onRecordWithdrawn(withdrawn.cause(), state.nowMillis());
                logReleased(withdrawn.cause(), "withdrawn");
            } else if (read instanceof QuarantineRecord.Released released) {
                Optional.ofNullable(recorded.remove(released.causeId())).ifPresent(this::release);
            }
        }

        /** An answer that was heard of in an earlier era says nothing of now. */
        private boolean isRepeated(LogPosition position) {
            return position.era() > endAtStart.era() && position.isBefore(listedEnd);
        }

        private void applyCrashRecord(QuarantineRecord.Crashed crashed, LogPosition position) {
            if (isFromBeforeStart(crashed.crash(), position)) {
                quarantine.onPastCrash(crashed.crash(), state.nowMillis());
            } else if (!crashed.relay().equals(state.settings().instance())) {
                applyAndLog(() -> quarantine.onCrash(crashed.crash(), false, state.nowMillis()), crashed.relay());
            }
        }

        /** Of a later era all records are read again, those from before the start among them. */
        private boolean isFromBeforeStart(TargetCrash crash, LogPosition position) {
            return position.isBefore(endAtStart)
                    || position.era() > endAtStart.era() && crash.atMillis() < startedAtUnixMillis;
        }

        private void release(Cause cause) {
            quarantine.onReleased(cause, state.nowMillis());
            logReleased(cause, "by hand");
        }

        private void logReleased(Cause cause, String reason) {
            state.log().info("request_released", "features", cause.toText(), "reason", reason);
        }

        /** What was written last may be lost, and then only those who have read it know of it. */
        @Override
        public void onNewEra() {
            forgetOldCrashes();
            writtenCrashes.forEach(written -> addUnwritten(written.crash()));
            writtenCrashes.clear();
        }

        @Override
        public void onListed(Set<String> keys, LogPosition end) {
            if (!listedOnce) {
                endAtStart = end;
            }
            listedOnce = true;
            listedEnd = end;
            recorded.values()
                    .removeIf(cause -> !keys.contains(state.platform().store().keyOf(cause)));
            quarantine.onRecordsListed(Set.copyOf(recorded.values()));
        }

        /** After the listing the retained records are read on, which tell of crashes that blame nothing yet. */
        @Override
        public void onReadToEnd(Moment askedAt) {
            if (!follower.readPosition().isBefore(listedEnd)) {
                state.quarantineRead().onRead();
            }
        }
    }

    private void forgetOldCrashes() {
        long since = state.nowMillis() - REWRITTEN_MILLIS;
        writtenCrashes.removeIf(written -> written.at() < since);
    }

    /** Records a target's crash that this relay has observed, and writes it to the store for peers. */
    private void onCrash(Target target, CrashDetector.Broken broken) {
        state.metrics().recordTargetCrash(target.registration().service());
        Set<Feature> features = broken.requests().stream()
                .flatMap(request -> request.features().stream())
                .collect(Collectors.toSet());
        TargetCrash crash = new TargetCrash(
                        target.id(),
                        target.registration().startedAt(),
                        broken.atMillis(),
                        broken.requests(),
                        quarantine.answeredAmong(features, state.nowMillis()))
                .limitedTo(MAX_CRASH_CHARACTERS);
        logCrash(target, crash);
        applyAndLog(() -> quarantine.onCrash(crash, true, state.nowMillis()), "self");
        addUnwritten(crash);
        write();
    }

    private void addUnwritten(TargetCrash crash) {
        unwrittenCrashes.add(crash);
        if (unwrittenCrashes.size() > MAX_UNWRITTEN_CRASHES) {
            unwrittenCrashes.remove(0);
        }
    }

    private void logUnconfirmed(Target target, CrashDetector.UnconfirmedCrash crash) {
        state.log()
                .info(
                        "crash_unconfirmed",
                        "target",
                        target.id(),
                        "requests",
                        Integer.toString(crash.requests()),
                        "last_dial",
                        crash.lastDial().name().toLowerCase(Locale.ROOT),
                        "dials",
                        Integer.toString(crash.dials()));
    }

    private void logCrash(Target target, TargetCrash crash) {
        state.log()
                .warn(
                        "target_crashed",
                        "target",
                        target.id(),
                        "service",
                        target.registration().service(),
                        "requests",
                        Integer.toString(crash.requests().size()),
                        "fingerprints",
                        crash.requests().stream()
                                .limit(MAX_LOGGED_REQUESTS)
                                .map(SuspectRequest::fingerprint)
                                .collect(Collectors.joining(",")));
    }

    /** Applies a change, and logs which causes are quarantined by it. */
    private void applyAndLog(Runnable change, String by) {
        Set<Cause> known = quarantine.causes();
        change.run();
        for (Cause cause : quarantine.causes()) {
            if (!known.contains(cause)) {
                state.log()
                        .warn(
                                "request_quarantined",
                                "features",
                                cause.toText(),
                                "any",
                                Boolean.toString(cause.anyOf()),
                                "answered_before",
                                Boolean.toString(cause.answeredBefore()),
                                "targets",
                                String.join(",", quarantine.crashedTargets(cause)),
                                "by",
                                by);
            }
        }
    }

    /** Expires old entries, and writes records that the store lacks; called periodically. */
    public void sweep() {
        quarantine.expire(state.nowMillis());
        write();
    }

    private void write() {
        if (writeClient.isBusy() || closed) {
            return;
        }
        List<TargetCrash> crashes =
                unwrittenCrashes.stream().limit(MAX_WRITTEN_CRASHES).toList();
        List<Cause> unrecorded = quarantine.recordsToWrite();
        List<Cause> outdated = quarantine.recordsToWithdraw();
        List<FeatureAnswer> answers = quarantine.takeAnswersToTell();
        List<QuarantineRecord> records = new ArrayList<>();
        crashes.forEach(crash ->
                records.add(new QuarantineRecord.Crashed(state.settings().instance(), crash)));
        answers.forEach(answer -> records.add(new QuarantineRecord.Answered(answer)));
        answers.forEach(answer -> records.add(new QuarantineRecord.AnswerTold(answer.feature())));
        unrecorded.forEach(cause -> records.add(new QuarantineRecord.Quarantined(cause, quarantine.trialsOf(cause))));
        outdated.forEach(cause -> records.add(new QuarantineRecord.Withdrawn(cause)));
        outdated.forEach(cause -> records.add(new QuarantineRecord.Released(cause.id())));
        if (records.isEmpty()) {
            return;
        }
        writeClient.call(
                state.platform().store().write(records, OptionalLong.empty()), WRITE_TIMEOUT_MILLIS, answer -> {
                    state.metrics().recordStoreCall("QUARANTINE_WRITE");
                    Optional<LogPosition> written = position(answer);
                    if (written.isEmpty()) {
                        quarantine.onAnswersUntold(answers);
                        return;
                    }
                    writtenTo = written.get().plus(records.size());
                    onWritten.run();
                    unwrittenCrashes.removeAll(crashes);
                    forgetOldCrashes();
                    crashes.forEach(crash -> writtenCrashes.add(new WrittenCrash(crash, state.nowMillis())));
                    unrecorded.forEach(quarantine::onRecordWritten);
                    outdated.forEach(cause -> quarantine.onRecordWithdrawn(cause, state.nowMillis()));
                    write();
                });
    }

    /**
     * Gets hold of the trial of a cause. Its record is written only if this relay has read all records before it, so
     * that no two relays get hold of the same trial.
     */
    private void claimTrial(Cause cause) {
        if (trialClient.isBusy() || closed || state.nowMillis() < nextClaimAt) {
            return;
        }
        nextClaimAt = state.nowMillis() + CLAIM_INTERVAL_MILLIS;
        int number = quarantine.trialsOf(cause) + 1;
        LogPosition at = follower.readPosition();
        List<QuarantineRecord> records = List.of(new QuarantineRecord.Quarantined(cause, number));
        trialClient.call(
                state.platform().store().write(records, OptionalLong.of(at.offset())), WRITE_TIMEOUT_MILLIS, answer -> {
                    state.metrics().recordStoreCall("QUARANTINE_TRIAL");
                    if (!position(answer).equals(Optional.of(at))) {
                        return;
                    }
                    writtenTo = at.plus(records.size());
                    onWritten.run();
                    quarantine.onTrialGranted(cause, number, state.nowMillis());
                    state.log()
                            .info("quarantine_tried", "features", cause.toText(), "number", Integer.toString(number));
                });
    }

    /** Returns the position of the first written record; empty if it isn't certain that they were written. */
    private Optional<LogPosition> position(CallResult answer) {
        CallResult accepted = state.storeEra().accept(answer);
        StoreResponse read = accepted.toAppendResponse(
                state.platform().store(), state.storeEra().current());
        if (read instanceof StoreResponse.Failed failed && failed.status() == HttpResponseStatus.OK.code()) {
            state.log().warn("answer_unreadable", "reason", failed.reason().orElse("unknown"));
        }
        return read instanceof StoreResponse.Appended appended ? Optional.of(appended.position()) : Optional.empty();
    }

    /** Returns up to where peers should have read. */
    public LogPosition readPosition() {
        return LogPosition.latest(writtenTo, follower.readPosition());
    }

    /** Handles up to where a peer has read or written. */
    public void onPeerPosition(LogPosition readTo) {
        follower.onPeerPosition(readTo);
    }

    /** Reads from the store's new address. */
    public void reconnect() {
        follower.reconnect();
    }

    @Override
    public void close() {
        closed = true;
        follower.close();
        writeClient.close();
        trialClient.close();
    }
}
