package org.rattanrudder.core.companion;

import java.util.List;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;

/** One attempt that this companion has accepted and not yet forgotten. */
final class Attempt {
    /** No link carries the attempt's frames: its entry has yet to resume it. */
    static final long DETACHED = -1;

    private static final long NOT_YET = -1;

    private Frame.Dispatch dispatch;
    private final HeldTarget target;
    private final Address address;
    private final AnswerStream answer;
    private final long acceptedMicros;
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

    Attempt(Frame.Dispatch dispatch, HeldTarget target, long link, long nowMicros) {
        this.dispatch = dispatch;
        this.target = target;
        this.address = target.settings().address();
        this.link = link;
        this.acceptedMicros = nowMicros;
        this.answer = new AnswerStream(dispatch.attempt());
    }

    /** How far an attempt has come. */
    enum Stage {
        /** It waits for the verdict on its key. */
        CLAIMING,
        /** It waits for a place at its target. */
        QUEUED,
        /** It has its place, and its context is being fetched. */
        FETCHING,
        /** The target has been called. */
        CALLED,
        /** Its last frame is known, and kept until the entry has all of it. */
        ENDED
    }

    AttemptId id() {
        return dispatch.attempt();
    }

    Frame.Dispatch dispatch() {
        return dispatch;
    }

    HeldTarget target() {
        return target;
    }

    /** Returns the target's address when the attempt was accepted: a later document may name another. */
    Address address() {
        return address;
    }

    AnswerStream answer() {
        return answer;
    }

    Stage stage() {
        return stage;
    }

    void enter(Stage next) {
        stage = next;
    }

    /** Returns whether it holds one of its target's places. */
    boolean holdsPlace() {
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

    void fetch(long nowMicros) {
        progressMicros = nowMicros;
        stage = Stage.FETCHING;
    }

    void start(long nowMicros) {
        startedMicros = nowMicros;
        progressMicros = nowMicros;
        stage = Stage.CALLED;
    }

    void progress(long nowMicros) {
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

    /** Lets go of the call's body, which can be large, once the target has been called. */
    void forgetCall() {
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

    /** Takes note that the target may go on: time that it spent waiting for the caller doesn't count as silence. */
    void windowOpened(long nowMicros) {
        progressMicros = nowMicros;
    }

    long progressMicros() {
        return progressMicros;
    }

    /** Takes note of the first byte of the answer, once. */
    void firstByte(long nowMicros) {
        if (firstByteMicros == NOT_YET) {
            firstByteMicros = nowMicros;
            target.admission().onFirstByte(id(), nowMicros);
        }
    }

    /** Returns when the first byte of the answer came; before {@link #startedMicros} if it hasn't. */
    long firstByteMicros() {
        return firstByteMicros;
    }

    long startedMicros() {
        return startedMicros;
    }

    long acceptedMicros() {
        return acceptedMicros;
    }

    ContextMover.Fetched fetched() {
        return fetched;
    }

    void fetched(ContextMover.Fetched what) {
        fetched = what;
    }

    /** Returns whether the entry wants no answer any more, though the call goes on. */
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
