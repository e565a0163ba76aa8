package org.rattanrudder.daemon.companion;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.daemon.http.ContentTypes;
import org.rattanrudder.daemon.http.ForwardedHeaders;

/** A prompt at an engine: each server-sent event of the answer is one chunk, in the order of its number. */
final class EngineCall extends TargetCall {
    private static final int OK = 200;

    private final boolean resumed;
    private final EventStreamReader reader = new EventStreamReader();
    private final Queue<EngineEvent> waiting = new ArrayDeque<>();
    private boolean eventStream;
    private boolean done;
    private long nextNumber;
    private Usage usage = Usage.NONE;

    /**
     * Makes a call.
     *
     * @param attempt the attempt
     * @param fromNumber the number of the first event that is wanted
     * @param resumed whether it takes up a stream that began on another connection
     * @param publish takes the events
     * @param ended is told when no more events come
     */
    EngineCall(AttemptId attempt, long fromNumber, boolean resumed, Consumer<CompanionEvent> publish, Runnable ended) {
        super(attempt, publish, ended);
        this.nextNumber = fromNumber;
        this.resumed = resumed;
    }

    @Override
    public void head(int status, List<Header> headers) {
        if (resumed && status != OK) {
            giveUp("the engine no longer has the stream: " + status);
            return;
        }
        eventStream = status == OK && ContentTypes.isEventStream(headers);
        publish(new CompanionEvent.TargetAnswerStarted(attempt(), status, ForwardedHeaders.forwardable(headers)));
    }

    @Override
    public boolean part(byte[] bytes) {
        if (isOver()) {
            // Only the end of the body is still to come.
            return true;
        }
        if (!eventStream) {
            takePlace();
            publish(new CompanionEvent.TargetChunk(attempt(), bytes, ""));
            return hasPlace();
        }
        try {
            waiting.addAll(reader.add(bytes));
        } catch (IOException malformed) {
            giveUp(malformed.getMessage());
            return false;
        }
        return passOn();
    }

    @Override
    public boolean resume() {
        return passOn();
    }

    @Override
    public void end(ResponseEnd end) {
        if (isOver()) {
            return;
        }
        if (!eventStream) {
            finish(new CompanionEvent.TargetAnswerEnded(attempt(), Usage.NONE));
        } else if (!done) {
            // An end without the mark is a cut stream, however cleanly the connection was closed.
            giveUp("the stream ended early");
        }
    }

    /** Passes on as many events as the window lets; returns whether to read on. */
    private boolean passOn() {
        while (!isOver() && !waiting.isEmpty()) {
            if (!waiting.peek().isDone() && !hasPlace()) {
                return false;
            }
            take(waiting.poll());
        }
        return isOver() || hasPlace();
    }

    private void take(EngineEvent event) {
        if (event.isDone()) {
            done = true;
            finish(new CompanionEvent.TargetAnswerEnded(attempt(), usage));
            return;
        }
        if (event.number() >= 0 && event.number() < nextNumber) {
            return;
        }
        if (event.number() > nextNumber) {
            giveUp("events of the stream are missing");
            return;
        }
        nextNumber++;
        event.usage().ifPresent(measured -> usage = measured);
        takePlace();
        publish(new CompanionEvent.TargetChunk(attempt(), event.bytes(), event.weightVersion()));
    }
}
