package org.rattanrudder.daemon.relay.serving;

import java.util.Locale;
import org.rattanrudder.daemon.relay.process.RelayState;

/** Logs what becomes of requests and connections while the relay is stopping, with times since the stop request. */
final class StopLog {
    private final RelayState state;

    StopLog(RelayState state) {
        this.state = state;
    }

    /** Logs the end of a request; one that was taken before the stop request has a negative time of arrival. */
    void requestEnded(RequestPlan plan, FinalReply.Ending ending, boolean sent) {
        state.log()
                .info(
                        "request_in_stop",
                        "request",
                        plan.id(),
                        "route",
                        plan.route().name(),
                        "repeat",
                        plan.route().repeat().name().toLowerCase(Locale.ROOT),
                        "taken_ms",
                        sinceStop(plan.arrivedAt()),
                        "ended_ms",
                        sinceStop(state.nowMillis()),
                        "grace_ms",
                        Long.toString(state.graceMillis()),
                        "sent",
                        Boolean.toString(sent),
                        "outcome",
                        ending.outcome(),
                        "reason",
                        ending.reason());
    }

    /**
     * Logs that a connection is closed that still owes its caller something.
     *
     * @param cause what closes it
     * @param unsentBytes the bytes of answers that the caller hasn't taken
     * @param requestsWaiting whether requests, or parts of them, wait unanswered
     */
    void connectionCut(String cause, long unsentBytes, boolean requestsWaiting) {
        state.log()
                .info(
                        "connection_cut",
                        "cause",
                        cause,
                        "unsent_bytes",
                        Long.toString(unsentBytes),
                        "requests_waiting",
                        Boolean.toString(requestsWaiting),
                        "stop_ms",
                        state.isStopping() ? sinceStop(state.nowMillis()) : "none");
    }

    private String sinceStop(long at) {
        return Long.toString(at - state.stoppingSince());
    }
}
