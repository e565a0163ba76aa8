package org.rattanrudder.core.entry;

import java.util.List;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;

/** The state of the link to one companion, with the last frames received on it. */
final class CompanionLink {
    /** The state of a link. */
    enum State {
        /** No connection; the next attempt to open one is scheduled. */
        CLOSED,
        /** The connection is being opened. */
        OPENING,
        /** The connection is open and the companion's hello has arrived. */
        OPEN
    }

    static final long NEVER = -1;

    final Address address;
    State state = State.CLOSED;
    Frame.Hello hello;
    Frame.Heartbeat heartbeat;
    boolean leaving;
    /** Time at which the link entered its state. */
    long stateSinceMicros;
    /** Time at which the last frame was received on the link. */
    long lastFrameMicros = NEVER;
    /** Time at which the last heartbeat was received, on this or an earlier connection. */
    long heartbeatMicros = NEVER;

    long nextOpenMicros;
    long nextHeartbeatMicros;
    long heartbeatsSent;
    int failures;

    CompanionLink(Address address) {
        this.address = address;
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    /** Returns the companion's incarnation; 0 if no hello was ever received. */
    long incarnation() {
        return hello == null ? 0 : hello.incarnation();
    }

    List<Frame.TargetState> targets() {
        return heartbeat == null ? List.of() : heartbeat.targets();
    }

    List<Frame.ServiceRevision> revisions() {
        return heartbeat == null ? List.of() : heartbeat.revisions();
    }

    void enterState(State next, long nowMicros) {
        state = next;
        stateSinceMicros = nowMicros;
    }
}
