package org.rattanrudder.daemon.relay.serving;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.OptionalLong;
import org.rattanrudder.core.continuation.StreamOrigin;
import org.rattanrudder.core.fleet.FirstEventSample;
import org.rattanrudder.core.fleet.FirstEventSample.CapacityAtSend;
import org.rattanrudder.core.fleet.MedianEstimate;
import org.rattanrudder.core.fleet.Target;
import org.rattanrudder.core.gateway.AttemptOutcome;
import org.rattanrudder.core.gateway.BodyPosition;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.parts.PartDirectory;
import org.rattanrudder.core.parts.PartPlan;
import org.rattanrudder.core.quarantine.Quarantine;
import org.rattanrudder.daemon.relay.peers.FetchLatenessRecorder;
import org.rattanrudder.daemon.relay.port.ResponseMetadata;
import org.rattanrudder.daemon.relay.targets.TargetConnection;

/** One attempt to run a request at one target; owned by its exchange. */
final class TargetAttempt {
    private final Target target;
    private final TargetConnection connection;
    private final RequestPlan.Outgoing outgoing;
    private final long sentAt;
    private final Optional<StreamOrigin> softwareAtSend;
    private final CapacityAtSend capacityAtSend;
    private double expectedMillis;
    private boolean answeredByOther;
    private boolean provedRunning;
    private long lastContentAt;
    private long firstByteMillis = -1;
    private long maxPauseMillis;
    private Optional<String> bodyEnd = Optional.empty();

    TargetAttempt(Target target, TargetConnection connection, RequestPlan.Outgoing outgoing, long sentAt) {
        this.target = target;
        this.connection = connection;
        this.outgoing = outgoing;
        this.sentAt = sentAt;
        lastContentAt = sentAt;
        softwareAtSend = target.software();
        capacityAtSend = target.capacityAtSend(sentAt);
        target.onSent(outgoing.cost(), sentAt);
    }

    Target target() {
        return target;
    }

    TargetConnection connection() {
        return connection;
    }

    /**
     * Returns the software that runs it; empty if that isn't known, if the target has named another one since, or if
     * another target has answered.
     */
    Optional<StreamOrigin> software() {
        return answeredByOther
                ? Optional.empty()
                : softwareAtSend.filter(
                        software -> target.software().filter(software::equals).isPresent());
    }

    Target.RequestCost cost() {
        return outgoing.cost();
    }

    /** Returns the version of weights that the target was asked for; empty if it was asked for none. */
    OptionalLong weights() {
        return outgoing.forwarding().weights();
    }

    long sentAt() {
        return sentAt;
    }

    long lastContentAt() {
        return lastContentAt;
    }

    /** Returns the time to the first byte in ms; -1 before it. */
    long firstByteMillis() {
        return firstByteMillis;
    }

    /**
     * Records for the stores of the prompt's parts how much later the first byte came than without fetching, and for
     * the target how fast it was.
     *
     * @param status the status of the response; errors say nothing of the target's speed
     */
    void recordFirstByte(
            RequestPlan plan, int status, FetchLatenessRecorder recorder, PartDirectory directory, long nowMillis) {
        int prompt = plan.metadata().promptTokens();
        PartPlan parts = outgoing.forwarding().parts();
        double withoutFetch = target.capacity().firstEventMillis(cost().prefillTokens(), nowMillis);
        recorder.recordFirstByte(parts, firstByteMillis - withoutFetch, directory, nowMillis);
        expectedMillis = target.capacity().firstEventMillis(prompt, nowMillis);
        if (plan.engine().isPresent() && HttpStatusClass.SUCCESS.contains(status)) {
            double fetchMillis = plan.engine().get().fetchMillis(parts.fetchedTokens());
            FirstEventSample sample =
                    new FirstEventSample(capacityAtSend, prompt, cost().prefillTokens(), fetchMillis, firstByteMillis);
            target.capacity().onFirstEvent(sample, nowMillis);
        }
    }

    /** Records that the attempt has failed; returns how long after it was sent, in ms. */
    long recordFailure(AttemptOutcome outcome, long nowMillis) {
        long after = nowMillis - sentAt;
        if (outcome.mayHaveRun() && outcome != AttemptOutcome.WITHDRAWN) {
            target.recordFailure(after, nowMillis);
        }
        if (outcome == AttemptOutcome.BROKEN) {
            target.onMayHaveEnded(nowMillis);
        }
        return after;
    }

    /** Records that a response with a status is complete; returns whether the target has succeeded. */
    boolean recordComplete(RequestPlan plan, int status, long nowMillis) {
        if (status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            target.recordFailure(0, nowMillis);
            return false;
        }
        recordSuccess(plan, plan.route().repeat().stream() ? firstByteMillis : nowMillis - sentAt, nowMillis);
        return true;
    }

    /**
     * Records that the response is complete.
     *
     * @param takenMillis the time to the first byte of a stream, or to the end of any other response
     */
    private void recordSuccess(RequestPlan plan, long takenMillis, long nowMillis) {
        if (plan.engine().isPresent()) {
            int prompt = plan.metadata().promptTokens();
            double expected = hasBegun() ? expectedMillis : target.capacity().firstEventMillis(prompt, nowMillis);
            target.recordSuccess(takenMillis - expected, nowMillis);
            return;
        }
        MedianEstimate usual = plan.callMillis();
        target.recordSuccess(takenMillis - plan.expectedCallMillis(target, nowMillis), nowMillis);
        target.capacity().onCall(capacityAtSend, takenMillis, usual.millis(), nowMillis);
        usual.record(takenMillis);
    }

    /** Returns the longest time between two chunks, in ms. */
    long maxPauseMillis() {
        return maxPauseMillis;
    }

    boolean hasBegun() {
        return firstByteMillis >= 0;
    }

    /** Records what the head of the response says of the request and its weights. */
    void recordHead(ResponseMetadata metadata, Optional<String> model, long nowMillis) {
        answeredByOther = !metadata.isFrom(target.id());
        if (!metadata.notRun()) {
            target.onAccepted(sentAt);
        }
        model.ifPresent(
                name -> metadata.weights().ifPresent(version -> target.confirmWeights(name, version, nowMillis)));
    }

    /** Records a chunk of the response; returns whether it was the first. */
    boolean onContent(long nowMillis) {
        long pause = nowMillis - lastContentAt;
        lastContentAt = nowMillis;
        target.onBytesReceived(nowMillis);
        if (hasBegun()) {
            maxPauseMillis = Math.max(maxPauseMillis, pause);
            return false;
        }
        firstByteMillis = nowMillis - sentAt;
        target.onFirstByte(cost());
        return true;
    }

    /** Returns once whether its response has gone on for so long that its beginning crashes no target. */
    boolean isFirstProofOfRunning(long nowMillis) {
        if (provedRunning || nowMillis - sentAt - firstByteMillis < Quarantine.RUNNING_MILLIS) {
            return false;
        }
        provedRunning = true;
        return true;
    }

    /** Records how the body of the response ended, and where in its content. */
    void recordBodyEnd(ResponseEnd found, BodyPosition position) {
        bodyEnd = Optional.of(found.wireName() + "/" + position.wireName());
    }

    /** Returns how the body ended and where, as words for the log; empty if the relay gave the response up. */
    Optional<String> bodyEnd() {
        return bodyEnd;
    }

    /** Ends the attempt, whether it succeeded or not. */
    void finish() {
        target.onEnded(cost(), hasBegun());
    }
}
