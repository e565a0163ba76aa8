package org.rattanrudder.core.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Decides which new connections a relay reads after a start or a suspension, and which it closes unread.
 *
 * <p>While code is cold, a request costs several times as much as later, and connections wait for seconds until they
 * are read. Read in the order in which they were opened, all of them are late: the oldest have no use any more, and the
 * newest wait for them. Therefore only a few connections are read at a time, the newest first. The next one is read
 * once the request of an earlier one was sent on or rejected, so that the rate follows the cost of a request without an
 * estimate of it. Connections that have waited too long are closed unread: this costs almost nothing, it guarantees
 * that their requests haven't run, and their callers retry at another relay.
 *
 * <p>While the event loop isn't late and no connection waits, all connections are read at once.
 *
 * <p>Times are milliseconds of a monotonic clock. The class isn't thread-safe.
 *
 * @param <C> a connection; compared by identity or by its {@code equals}
 */
public final class ReturnAdmission<C> {
    /**
     * How long connections are closed unread because the relay isn't ready. Without a configuration for longer, the
     * store is unavailable, and requests are rejected with a status that says so.
     */
    static final long MAX_UNREADY_MILLIS = 5_000;

    private final Traits traits;
    private final long startedAt;
    private final Deque<Waiting<C>> waiting = new ArrayDeque<>();
    private int reading;

    /**
     * The limits of an admission.
     *
     * @param concurrent how many connections are read at a time, at least 1
     * @param holdMillis how long a connection waits to be read, in ms
     */
    public record Traits(int concurrent, long holdMillis) {}

    private record Waiting<C>(C connection, long since) {}

    /** What is done with a connection. */
    public sealed interface Decision<C> {
        /** Returns the connection. */
        C connection();
    }

    /** The connection is read; {@link #onDone} has to be called once its first request was sent on or rejected. */
    public record Read<C>(C connection) implements Decision<C> {}

    /**
     * The connection is closed without having been read.
     *
     * @param connection the connection
     * @param reason why
     * @param waitedMillis how long it has waited since it was accepted, in ms
     */
    public record CloseUnread<C>(C connection, Reason reason, long waitedMillis) implements Decision<C> {}

    /** Why a connection is closed unread. */
    public enum Reason {
        /** The relay has no configuration or no targets yet. */
        NOT_READY("not_ready"),
        /** The relay was busy with newer connections. */
        WAITED("waited");

        private final String wireName;

        Reason(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in metrics and log events. */
        public String wireName() {
            return wireName;
        }
    }

    /** Creates the admission of a relay that starts now. */
    public ReturnAdmission(Traits traits, long nowMillis) {
        this.traits = traits;
        startedAt = nowMillis;
    }

    /**
     * Records a new connection; returns whether it is read at once, without a call of {@link #onDone}. Otherwise it
     * waits for a decision.
     *
     * @param late whether the event loop is late
     * @param ready whether the relay has a configuration and targets
     */
    public boolean onOpened(C connection, boolean late, boolean ready, long nowMillis) {
        if (waiting.isEmpty() && !late && isServing(ready, nowMillis)) {
            return true;
        }
        waiting.add(new Waiting<>(connection, nowMillis));
        return false;
    }

    /** Records that a connection's first request was sent on or rejected, or that it won't arrive for now. */
    public void onDone() {
        reading--;
    }

    /** Returns whether connections wait for a decision. */
    public boolean isWaiting() {
        return !waiting.isEmpty();
    }

    /** Decides on waiting connections, the newest first; those without a decision continue to wait. */
    public List<Decision<C>> decide(boolean ready, long nowMillis) {
        List<Decision<C>> decisions = new ArrayList<>();
        boolean serving = isServing(ready, nowMillis);
        while (serving && reading < traits.concurrent() && !waiting.isEmpty()) {
            decisions.add(new Read<>(waiting.removeLast().connection()));
            reading++;
        }
        while (!waiting.isEmpty() && nowMillis - waiting.getFirst().since() >= traits.holdMillis()) {
            Waiting<C> oldest = waiting.removeFirst();
            decisions.add(new CloseUnread<>(
                    oldest.connection(), serving ? Reason.WAITED : Reason.NOT_READY, nowMillis - oldest.since()));
        }
        return decisions;
    }

    private boolean isServing(boolean ready, long nowMillis) {
        return ready || nowMillis - startedAt >= MAX_UNREADY_MILLIS;
    }
}
