package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.core.time.EventTime;

/** An attempt that this companion has accepted and not yet discarded. */
final class Attempt {
    /** Value of the link of a detached attempt, which its entry hasn't resumed yet. */
    static final long DETACHED = -1;

    private static final long NOT_YET = -1;

    private Frame.Dispatch dispatch;
    private final AssignedTarget target;
    private final Address address;
    private final AnswerStream answer;
    private final EventTime acceptedAt;
    private Stage stage = Stage.CLAIMING;
    private long link;
    private long detachedMicros;
    private long startedMicros;
    private long progressMicros;
    private long endedMicros;
    private long firstByteMicros = NOT_YET;
    private ContextMover.Fetched fetched = ContextMover.Fetched.NOTHING;
    private boolean abandoned;
    private boolean resuming;

    Attempt(Frame.Dispatch dispatch, AssignedTarget target, long link, EventTime now) {
        this.dispatch = dispatch;
        this.target = target;
        this.address = target.settings().address();
        this.link = link;
        this.acceptedAt = now;
        this.answer = new AnswerStream(dispatch.attempt());
    }

    /** Stage of an attempt. */
    enum Stage {
        /** Waits for the decision on its idempotency key. */
        CLAIMING,
        /** Waits for a slot at its target. */
        QUEUED,
        /** Holds a slot while its context is being fetched. */
        FETCHING,
        /** The target has been called. */
        CALLED,
        /** Its last frame is known and is retained until the entry has the whole answer. */
        ENDED
    }

    AttemptId id() {
        return dispatch.attempt();
    }

    Frame.Dispatch dispatch() {
        return dispatch;
    }

    AssignedTarget target() {
        return target;
    }

    /** Returns the target's address at the time of acceptance; a later document may specify another. */
    Address address() {
        return address;
    }

    AnswerStream answer() {
        return answer;
    }

    Stage stage() {
        return stage;
    }

    void moveTo(Stage next) {
        stage = next;
    }

    /** Returns whether it holds one of its target's slots. */
    boolean holdsSlot() {
        return stage == Stage.FETCHING || stage == Stage.CALLED;
    }

    /** Returns whether the target has certainly not been called. */
    boolean isBeforeCall() {
        return stage == Stage.CLAIMING || stage == Stage.QUEUED || stage == Stage.FETCHING;
    }

    long link() {
        return link;
    }

    boolean isDetached() {
        return link == DETACHED;
    }

    void attach(long newLink) {
        link = newLink;
    }

    void detach(long nowMicros) {
        link = DETACHED;
        detachedMicros = nowMicros;
    }

    long detachedMicros() {
        return detachedMicros;
    }

    void startFetch(long nowMicros) {
        progressMicros = nowMicros;
        stage = Stage.FETCHING;
    }

    void startCall(long nowMicros) {
        startedMicros = nowMicros;
        progressMicros = nowMicros;
        stage = Stage.CALLED;
    }

    void recordProgress(long nowMicros) {
        progressMicros = nowMicros;
        resuming = false;
    }

    void end(long nowMicros) {
        endedMicros = nowMicros;
        stage = Stage.ENDED;
    }

    long endedMicros() {
        return endedMicros;
    }

    /** Discards the headers and body of the call, which can be large, once the target has been called. */
    void discardCallBody() {
        Call call = new Call(dispatch.call().method(), dispatch.call().path(), List.of(), new byte[0]);
        dispatch = new Frame.Dispatch(
                dispatch.attempt(),
                dispatch.companionIncarnation(),
                dispatch.target(),
                dispatch.service(),
                dispatch.customer(),
                dispatch.requestClass(),
                dispatch.priority(),
                dispatch.deadlineMicros(),
                dispatch.weightVersion(),
                dispatch.idempotencyKey(),
                dispatch.idempotent(),
                call,
                dispatch.prompt());
    }

    /**
     * Handles a reopened window: the time that the target spent waiting for the caller doesn't count towards its
     * timeout.
     */
    void onWindowOpened(long nowMicros) {
        progressMicros = nowMicros;
    }

    long progressMicros() {
        return progressMicros;
    }

    /** Records the arrival of the first byte of the answer; later calls have no effect. */
    void recordFirstByte(long nowMicros) {
        if (firstByteMicros == NOT_YET) {
            firstByteMicros = nowMicros;
            target.admission().onFirstByte(id(), nowMicros);
        }
    }

    /** Returns when the first byte of the answer arrived; a time before {@link #startedMicros} if none has. */
    long firstByteMicros() {
        return firstByteMicros;
    }

    long startedMicros() {
        return startedMicros;
    }

    long acceptedMicros() {
        return acceptedAt.atLeastMicros();
    }

    /** Returns whether the deadline may have passed. */
    boolean mayBeLate(EventTime now) {
        return now.atMostMicros() - acceptedAt.atMostMicros() >= dispatch.deadlineMicros();
    }

    ContextMover.Fetched fetched() {
        return fetched;
    }

    void fetched(ContextMover.Fetched newFetched) {
        fetched = newFetched;
    }

    /** Returns whether the entry no longer needs the answer, although the call continues. */
    boolean isAbandoned() {
        return abandoned;
    }

    void abandon() {
        abandoned = true;
    }

    boolean isResuming() {
        return resuming;
    }

    void resuming() {
        resuming = true;
    }

    boolean isPrompt() {
        return target.isEngine();
    }
}
