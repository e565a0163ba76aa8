package org.rattanrudder.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.core.quarantine.RequestFingerprint;
import org.rattanrudder.core.quarantine.TargetCrash;
import org.rattanrudder.daemon.relay.TopicFollower.Reading;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.QuarantineRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreResponse;

/**
 * Shares what is held against requests with the other relays, through the platform's store.
 *
 * <p>A caller comes back to any relay, and relays start again. Ends of targets are told while they are news; which
 * requests are quarantined stays in the store until one of the relays that saw it removes the record.
 */
final class QuarantineExchange implements AutoCloseable {
    private static final long WRITE_MILLIS = 1_500;

    /** Ends that wait to be written while the store is away; newer ones go before older ones. */
    private static final int MOST_UNWRITTEN = 64;

    private static final int FINGERPRINTS_LOGGED = 8;

    private final RelayState state;
    private final Quarantine quarantine;
    private final CallLine line;
    private final TopicFollower follower;
    private final List<TargetCrash> unwritten = new ArrayList<>();
    private long writtenTo;
    private boolean closed;

    QuarantineExchange(RelayState state) {
        this.state = state;
        quarantine = state.quarantine();
        line = new CallLine(state.connector(), state::store);
        follower =
                new TopicFollower(state, Topic.QUARANTINE, Pace.RARE_IN_GROUPS, Reading.NEWEST_AND_KEPT, new Records());
    }

    void start() {
        follower.start();
    }

    /** Takes the records of all relays. */
    private final class Records implements TopicFollower.Listener {
        private final Map<String, RequestFingerprint> recorded = new HashMap<>();
        private boolean listedOnce;
        private long endAtStart;

        @Override
        public void record(KeyedRecord record) {
            read(record).ifPresent(read -> take(read, record));
        }

        /** An end that is only listed may be from days ago; those of late are read after the listing. */
        @Override
        public void listedRecord(KeyedRecord record) {
            read(record)
                    .filter(read -> !(read instanceof QuarantineRecord.Crashed))
                    .ifPresent(read -> take(read, record));
        }

        private Optional<QuarantineRecord> read(KeyedRecord record) {
            return state.platform().store().readQuarantine(record);
        }

        private void take(QuarantineRecord read, KeyedRecord record) {
            if (read instanceof QuarantineRecord.Crashed crashed) {
                crashed(crashed, record.offset());
            } else if (read instanceof QuarantineRecord.Quarantined quarantined) {
                recorded.put(record.key(), quarantined.request());
                quarantined(quarantined.request());
            } else if (read instanceof QuarantineRecord.Released released) {
                recorded.remove(record.key());
                quarantine.onRecordRemoved(released.request(), state.nowMillis());
                state.log()
                        .info(
                                "request_released",
                                "fingerprint",
                                released.request().toHex());
            }
        }

        private void crashed(QuarantineRecord.Crashed crashed, long offset) {
            if (offset < endAtStart) {
                quarantine.onPastCrash(crashed.crash(), state.nowMillis());
            } else if (!crashed.relay().equals(state.settings().instance())) {
                note(crashed.crash(), false, crashed.relay());
            }
        }

        private void quarantined(RequestFingerprint request) {
            boolean known = isQuarantined(request);
            quarantine.onRecord(request, !listedOnce, state.nowMillis());
            logIfNew(request, known, "store");
        }

        @Override
        public void listed(Set<String> keys, long end) {
            if (!listedOnce) {
                endAtStart = end;
            }
            listedOnce = true;
            recorded.keySet().retainAll(keys);
            quarantine.onRecordsListed(Set.copyOf(recorded.values()));
        }
    }

    /** Notes the end of a target that was seen here, and tells the others. */
    void crashed(Target target, Set<RequestFingerprint> requests) {
        state.metrics().targetCrashed(target.registration().service());
        state.log()
                .warn(
                        "target_crashed",
                        "target",
                        target.id(),
                        "service",
                        target.registration().service(),
                        "requests",
                        Integer.toString(requests.size()),
                        "fingerprints",
                        requests.stream()
                                .limit(FINGERPRINTS_LOGGED)
                                .map(RequestFingerprint::toHex)
                                .collect(Collectors.joining(",")));
        Set<RequestFingerprint> suspects = quarantine.suspectable(requests, state.nowMillis());
        if (suspects.isEmpty()) {
            return;
        }
        TargetCrash crash = new TargetCrash(target.id(), target.registration().startedAt(), suspects);
        note(crash, true, "self");
        unwritten.add(crash);
        if (unwritten.size() > MOST_UNWRITTEN) {
            unwritten.remove(0);
        }
        write();
    }

    private void note(TargetCrash crash, boolean seenHere, String by) {
        Set<RequestFingerprint> known =
                crash.requests().stream().filter(this::isQuarantined).collect(Collectors.toSet());
        quarantine.onCrash(crash, seenHere, state.nowMillis());
        crash.requests().forEach(request -> logIfNew(request, known.contains(request), by));
    }

    private boolean isQuarantined(RequestFingerprint request) {
        return quarantine.remainingMillis(request, state.nowMillis()).isPresent();
    }

    private void logIfNew(RequestFingerprint request, boolean known, String by) {
        if (!known && isQuarantined(request)) {
            state.log().warn("request_quarantined", "fingerprint", request.toHex(), "by", by);
        }
    }

    /** Lets go what was held for long enough, and writes what the store still lacks; called every now and then. */
    void sweep() {
        quarantine.expire(state.nowMillis());
        write();
    }

    private void write() {
        if (line.isBusy() || closed) {
            return;
        }
        List<TargetCrash> crashes = List.copyOf(unwritten);
        List<RequestFingerprint> unrecorded = quarantine.recordsToWrite();
        List<RequestFingerprint> outdated = quarantine.recordsToRemove();
        List<QuarantineRecord> records = new ArrayList<>();
        crashes.forEach(crash ->
                records.add(new QuarantineRecord.Crashed(state.settings().instance(), crash)));
        unrecorded.forEach(request -> records.add(new QuarantineRecord.Quarantined(request)));
        outdated.forEach(request -> records.add(new QuarantineRecord.Released(request)));
        if (records.isEmpty()) {
            return;
        }
        line.call(state.platform().store().write(records), WRITE_MILLIS, answer -> {
            state.metrics().storeCall("QUARANTINE_WRITE");
            long offset = offset(answer);
            if (offset < 0) {
                return;
            }
            writtenTo = offset + records.size();
            unwritten.removeAll(crashes);
            unrecorded.forEach(quarantine::onRecordWritten);
            outdated.forEach(request -> quarantine.onRecordRemoved(request, state.nowMillis()));
            write();
        });
    }

    /** Returns where the records begin; -1 if it isn't known that they were written. */
    private long offset(CallAnswer answer) {
        StoreResponse read = answer.ofAppend(state.platform().store());
        if (read instanceof StoreResponse.Failed failed && failed.status() == HttpResponseStatus.OK.code()) {
            state.log().warn("answer_unreadable", "reason", failed.reason().orElse("unknown"));
        }
        return read instanceof StoreResponse.Appended appended ? appended.offset() : -1;
    }

    /** Returns up to which offset the others should have read. */
    long readTo() {
        return Math.max(writtenTo, follower.readTo());
    }

    /** Another relay has read, or written, so far. */
    void hint(long readTo) {
        follower.hint(readTo);
    }

    /** The store has another address. */
    void reconnect() {
        follower.reconnect();
    }

    @Override
    public void close() {
        closed = true;
        follower.close();
        line.close();
    }
}
