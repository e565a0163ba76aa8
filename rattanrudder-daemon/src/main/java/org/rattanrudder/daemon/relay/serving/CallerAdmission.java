package org.rattanrudder.daemon.relay.serving;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.rattanrudder.core.gateway.ReturnAdmission;
import org.rattanrudder.core.gateway.ReturnAdmission.CloseUnread;
import org.rattanrudder.core.gateway.ReturnAdmission.Decision;
import org.rattanrudder.daemon.relay.process.RelayState;

/**
 * Lets callers' new connections wait unread after a start or a suspension, as {@link ReturnAdmission} decides.
 *
 * <p>A waiting connection has no handlers yet: one that is closed unread costs little more than its accept.
 */
final class CallerAdmission {
    /** Interval of decisions while connections wait; a hold time is exceeded by this at most. */
    private static final long DECISION_INTERVAL_MILLIS = 50;

    /** One iteration of the event loop, in which the request of a connection is read that waited for it. */
    private static final long READ_MILLIS = 2;

    private final RelayState state;
    private final Function<Channel, CallerConnection> handlers;
    private final ReturnAdmission<Channel> admission;
    private boolean decisionScheduled;

    /**
     * Creates the admission.
     *
     * @param handlers adds the handlers of a connection
     */
    CallerAdmission(RelayState state, ReturnAdmission.Traits traits, Function<Channel, CallerConnection> handlers) {
        this.state = state;
        this.handlers = handlers;
        admission = new ReturnAdmission<>(traits, state.nowMillis());
    }

    /** Handles a connection that a caller has opened. */
    void onOpened(Channel channel) {
        long now = state.nowMillis();
        if (admission.onOpened(channel, state.eventLoopLag().isLate(now), isReady(now), now)) {
            handlers.apply(channel);
            return;
        }
        channel.config().setAutoRead(false);
        decideSoon();
    }

    private boolean isReady(long nowMillis) {
        return state.configuration().isPresent()
                && !state.fleet().all(nowMillis).isEmpty();
    }

    /** Decides after all connections were accepted that the event loop finds in this iteration. */
    private void decideSoon() {
        if (!decisionScheduled) {
            decisionScheduled = true;
            state.loop().execute(this::decide);
        }
    }

    private void decide() {
        decisionScheduled = false;
        long now = state.nowMillis();
        List<CloseUnread<Channel>> closed = new ArrayList<>();
        for (Decision<Channel> decision : admission.decide(isReady(now), now)) {
            if (decision instanceof CloseUnread<Channel> unread) {
                closed.add(unread);
            } else {
                read(decision.connection());
            }
        }
        closeUnread(closed);
        if (admission.isWaiting() && !decisionScheduled) {
            decisionScheduled = true;
            state.loop().schedule(this::decide, DECISION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeUnread(List<CloseUnread<Channel>> closed) {
        if (closed.isEmpty()) {
            return;
        }
        CloseUnread<Channel> oldest = closed.get(0);
        for (CloseUnread<Channel> each : closed) {
            state.metrics().recordConnectionClosedAfterStart(each.reason().wireName());
            each.connection().close();
        }
        state.log()
                .info(
                        "connections_closed_unread",
                        "count",
                        Integer.toString(closed.size()),
                        "reason",
                        oldest.reason().wireName(),
                        "longest_wait_ms",
                        Long.toString(oldest.waitedMillis()));
    }

    private void read(Channel channel) {
        CallerConnection connection = handlers.apply(channel);
        connection.onFirstRequestDone(this::onDone);
        channel.pipeline().fireChannelActive();
        channel.config().setAutoRead(true);
        state.loop().schedule(connection::releaseUnlessComplete, READ_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onDone() {
        admission.onDone();
        if (admission.isWaiting()) {
            state.loop().execute(this::decide);
        }
    }
}
