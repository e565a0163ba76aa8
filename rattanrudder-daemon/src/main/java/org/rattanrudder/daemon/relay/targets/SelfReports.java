package org.rattanrudder.daemon.relay.targets;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.fleet.LoadReport;
import org.rattanrudder.core.fleet.RestNotice;
import org.rattanrudder.core.fleet.SelfReport;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;
import org.rattanrudder.daemon.relay.process.RelayState;
import org.rattanrudder.daemon.relay.process.UnreadNames;

/**
 * Takes in what targets say of themselves in the heads of their responses, to requests and to all other calls.
 *
 * <p>Nothing else reads these headers, so what holds for one kind of call holds for all. A name that nothing reads is
 * logged once.
 */
public final class SelfReports {
    private final RelayState state;
    private final QueueDispatcher queues;
    private final UnreadNames unknownHeaders;

    /** How many targets left at the last report of a peer. */
    private int knownLeaving;

    /** Creates a reader that has read nothing; {@code queues} is told when other targets have become usable. */
    public SelfReports(RelayState state, QueueDispatcher queues) {
        this.state = state;
        this.queues = queues;
        unknownHeaders = new UnreadNames(
                fields -> state.log().warn("response_header_unknown", fields), state.metrics()::recordUnknownHeader);
        state.metrics()
                .gauge(
                        "rattanrudder_relay_targets_leaving",
                        "Targets that leave, by their records, their responses or peers",
                        this::leavingTargets);
    }

    /** Takes in the head of the response to a request. */
    public void onResponse(Target target, ResponseMetadata metadata, long sentAt) {
        metadata.unknownHeaders().forEach(name -> onUnknownHeader(target.id(), name));
        if (metadata.isFrom(target.id())) {
            apply(target, metadata, sentAt);
        }
    }

    /** Takes in that a target answered that a request was meant for another, or for other weights; returns which. */
    public String onMisdirected(Target target, ResponseMetadata metadata) {
        Optional<String> other = metadata.target().filter(id -> !id.equals(target.id()));
        if (other.isEmpty()) {
            target.onRejected(state.nowMillis());
            return "other weights";
        }
        state.log().warn("target_replaced", "target", target.id(), "found", other.get());
        state.fleet().removeReplaced(target.id(), state.nowMillis());
        return "another target";
    }

    /** Takes in the head of the response to any other call, such as an order. */
    public void onCallAnswered(Target target, CallResult result, long sentAt) {
        if (result instanceof CallResult.Answered answered) {
            onResponse(target, state.platform().requests().read(answered.response()), sentAt);
        }
    }

    /** Takes in the head of a context store's response; returns how long the store wants no further call, in ms. */
    public long onStoreAnswered(Address store, CallResult result) {
        if (!(result instanceof CallResult.Answered answered)) {
            return 0;
        }
        ResponseMetadata metadata = state.platform().requests().read(answered.response());
        metadata.unknownHeaders().forEach(name -> onUnknownHeader(store.toString(), name));
        return metadata.selfReport().rest() instanceof RestNotice.Asked asked ? asked.observedMillis() : 0;
    }

    /** Handles that a peer's report was applied, which may name targets that leave. */
    public void onPeerReport(String peer, LoadReport report) {
        if (report.leaving().isEmpty()) {
            return;
        }
        int leaving = leavingTargets();
        if (leaving > knownLeaving) {
            state.log().info("peer_says_leaving", "peer", peer, "targets", Integer.toString(leaving));
            queues.onUsableTargetsChanged();
        }
        knownLeaving = leaving;
    }

    /** Returns how many known targets leave. */
    private int leavingTargets() {
        return state.fleet().leavingTargets(state.nowMillis()).size();
    }

    private void apply(Target target, ResponseMetadata metadata, long sentAt) {
        SelfReport report = metadata.selfReport();
        long now = state.nowMillis();
        boolean left = target.isLeaving();
        boolean rested = target.isResting(now);
        boolean conclusive = metadata.signed() && !metadata.notRun();
        target.recordSelfReport(report, conclusive, sentAt, now);
        if (target.isLeaving() && !left) {
            state.log().info("target_leaving", "target", target.id(), "status", Integer.toString(metadata.status()));
            queues.onUsableTargetsChanged();
        }
        if (report.rest() instanceof RestNotice.Asked asked) {
            onRestAsked(target, asked, metadata.status(), rested);
            queues.onUsableTargetsChanged();
        } else if (report.rest() instanceof RestNotice.Unreadable unreadable) {
            state.log().warn("rest_unreadable", "target", target.id(), "value", unreadable.value());
        }
    }

    private void onRestAsked(Target target, RestNotice.Asked asked, int status, boolean rested) {
        state.log()
                .info(
                        "rest_asked",
                        "target",
                        target.id(),
                        "ms",
                        Long.toString(asked.millis()),
                        "status",
                        Integer.toString(status),
                        "sent",
                        Integer.toString(target.sentInRest()));
        if (!rested) {
            awaitRestEnd(target);
        }
    }

    private void awaitRestEnd(Target target) {
        long millis = Math.max(1, target.restMillis(state.nowMillis()));
        state.loop().schedule(() -> onRestEndDue(target), millis, TimeUnit.MILLISECONDS);
    }

    private void onRestEndDue(Target target) {
        if (target.isResting(state.nowMillis())) {
            awaitRestEnd(target);
            return;
        }
        state.log().info("rest_ended", "target", target.id(), "sent", Integer.toString(target.sentInRest()));
        queues.dispatchQueued(target.registration().service());
    }

    /** Counts a request that is sent to a target that has said that it wants none. */
    public void onRequestSent(Target target) {
        if (target.isLeaving()) {
            state.metrics().recordSentUnwanted("leaving");
        }
        if (target.isResting(state.nowMillis())) {
            state.metrics().recordSentUnwanted("rest");
        }
    }

    private void onUnknownHeader(String sender, String name) {
        unknownHeaders.record(name, "target", sender);
    }
}
