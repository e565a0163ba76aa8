package org.rattanrudder.daemon.companion;

import java.util.function.Consumer;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.wire.http.HttpAnswer;
import org.rattanrudder.wire.http.HttpCall;

/** A call to a target under way, read only as far as its window goes. */
abstract class TargetCall implements HttpAnswer {
    private final AttemptId attempt;
    private final Consumer<CompanionEvent> publish;
    private final Runnable ended;
    private int window = CompanionEffect.INITIAL_WINDOW_CHUNKS;
    private boolean over;
    private volatile HttpCall call;
    private volatile boolean cancelled;

    /**
     * Makes a call that hasn't begun.
     *
     * @param attempt the attempt
     * @param publish takes its events
     * @param ended is told when no more events come
     */
    TargetCall(AttemptId attempt, Consumer<CompanionEvent> publish, Runnable ended) {
        this.attempt = attempt;
        this.publish = publish;
        this.ended = ended;
    }

    @Override
    public final void started(HttpCall begun) {
        call = begun;
    }

    /** Widens the window. */
    final void readMore(int chunks) {
        synchronized (this) {
            window += chunks;
        }
        call.readOn();
    }

    /** Gives up: no event follows. */
    final void cancel() {
        cancelled = true;
        call.cancel();
    }

    final boolean isCancelled() {
        return cancelled;
    }

    final AttemptId attempt() {
        return attempt;
    }

    /** Takes one chunk's place in the window, if there is one. */
    final synchronized boolean takePlace() {
        if (window == 0) {
            return false;
        }
        window--;
        return true;
    }

    final synchronized boolean hasPlace() {
        return window > 0;
    }

    final void publish(CompanionEvent event) {
        if (!over && !cancelled) {
            publish.accept(event);
        }
    }

    /** Publishes the last event. */
    final void finish(CompanionEvent last) {
        publish(last);
        over = true;
        ended.run();
    }

    /** Publishes that the call broke off, and reads no further. */
    final void giveUp(String detail) {
        finish(new CompanionEvent.TargetFailed(attempt, false, detail));
        call.cancel();
    }

    final boolean isOver() {
        return over;
    }

    @Override
    public void failed(boolean nothingSent, String detail) {
        if (!over) {
            finish(new CompanionEvent.TargetFailed(attempt, nothingSent, detail));
        }
    }
}
