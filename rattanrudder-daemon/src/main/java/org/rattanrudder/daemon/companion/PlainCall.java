package org.rattanrudder.daemon.companion;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.gateway.BodyPosition;
import org.rattanrudder.core.gateway.EventStreamScanner;
import org.rattanrudder.core.gateway.ResponseCompleteness;
import org.rattanrudder.core.gateway.ResponseEnd;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.daemon.http.ContentTypes;
import org.rattanrudder.daemon.http.ForwardedHeaders;

/** A call to a plain service: the answer passes on as it comes. */
final class PlainCall extends TargetCall {
    private final EventStreamScanner scanner = new EventStreamScanner();
    private boolean eventStream;

    PlainCall(AttemptId attempt, Consumer<CompanionEvent> publish, Runnable ended) {
        super(attempt, publish, ended);
    }

    @Override
    public void head(int status, List<Header> headers) {
        eventStream = ContentTypes.isEventStream(headers);
        publish(new CompanionEvent.TargetAnswerStarted(attempt(), status, ForwardedHeaders.forwardable(headers)));
    }

    @Override
    public boolean part(byte[] bytes) {
        takePlace();
        if (eventStream) {
            scan(bytes);
        }
        publish(new CompanionEvent.TargetChunk(attempt(), bytes, ""));
        return hasPlace();
    }

    private void scan(byte[] bytes) {
        for (byte each : bytes) {
            scanner.accept(each);
        }
    }

    @Override
    public void end(ResponseEnd end) {
        BodyPosition position = eventStream ? scanner.position() : BodyPosition.OPAQUE;
        Optional<String> incomplete = ResponseCompleteness.reasonIncomplete(end, position);
        if (incomplete.isPresent()) {
            giveUp(incomplete.get());
        } else {
            finish(new CompanionEvent.TargetAnswerEnded(attempt(), Usage.NONE));
        }
    }
}
