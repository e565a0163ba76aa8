package org.rattanrudder.daemon.relay.store;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.fleet.TargetRegistration;
import org.rattanrudder.core.time.Moment;
import org.rattanrudder.core.topics.LogPosition;
import org.rattanrudder.daemon.relay.port.KeyedRecord;
import org.rattanrudder.daemon.relay.port.StoreDialect;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.document.RelaySettings;

/** Handles the registrations of targets. */
final class TargetRegistrations implements TopicListener {
    private final RelayState state;
    private LogPosition changedPosition = LogPosition.START;

    /** Creates a handler that has handled no registration. */
    TargetRegistrations(RelayState state) {
        this.state = state;
    }

    /** Returns up to where peers should have read, since a registration before it has changed. */
    LogPosition changedPosition() {
        return changedPosition;
    }

    @Override
    public void onRecord(KeyedRecord record) {
        long now = state.nowMillis();
        StoreDialect store = state.platform().store();
        Optional<TargetRegistration> before = state.fleet().find(record.key()).map(Target::registration);
        Optional<TargetRegistration> read;
        try {
            read = record.value().map(value -> withoutOwnAddress(store.readTarget(record.key(), value)));
        } catch (IllegalArgumentException unreadable) {
            state.fleet().onUnreadableRecord(record.key(), record.position(), now);
            throw unreadable;
        }
        boolean isNew = state.fleet().apply(record.key(), read, record.position(), now);
        Optional<TargetRegistration> after = state.fleet().find(record.key()).map(Target::registration);
        if (!isNew || isUnchanged(before, after)) {
            return;
        }
        changedPosition = LogPosition.latest(changedPosition, record.position().plus(1));
        state.log()
                .info(
                        "target_changed",
                        "target",
                        record.key(),
                        "known",
                        Boolean.toString(after.isPresent()),
                        "draining",
                        Boolean.toString(after.map(TargetRegistration::draining).orElse(false)),
                        "position",
                        record.position().toString());
    }

    /** A relay would send requests that it gets from itself to itself again, without end. */
    private TargetRegistration withoutOwnAddress(TargetRegistration read) {
        RelaySettings own = state.settings();
        if (List.of(own.callers(), own.readiness(), own.metrics()).contains(read.address())) {
            throw new IllegalArgumentException("the address of this relay");
        }
        return read;
    }

    /** Returns whether peers needn't read a record for what it changes here. */
    private static boolean isUnchanged(Optional<TargetRegistration> before, Optional<TargetRegistration> after) {
        return before.isPresent() && after.isPresent() && !after.get().differsFrom(before.get());
    }

    @Override
    public void onListed(Set<String> keys, LogPosition end) {
        state.fleet().applyListing(keys, end, state.nowMillis());
    }

    @Override
    public void onCurrent(Moment askedAt) {
        state.fleet().onReadToEnd(askedAt.atLeastMillis());
    }

    @Override
    public void onStoreBehind() {
        state.fleet().onRegistrationsMissed();
    }

    @Override
    public void onNewEra() {
        state.fleet().onLogReturned();
    }

    @Override
    public void onAvailable() {
        state.fleet().onLogAvailable(state.nowMillis());
    }

    @Override
    public void onUnavailable() {
        state.fleet().onLogUnavailable();
    }
}
