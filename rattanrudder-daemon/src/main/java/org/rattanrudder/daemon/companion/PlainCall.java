package org.rattanrudder.daemon.companion;

import java.util.List;
import java.util.function.Consumer;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.call.Usage;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.daemon.http.ForwardedHeaders;

/** A call to a plain service: the answer passes on as it comes. */
final class PlainCall extends TargetCall {
    PlainCall(AttemptId attempt, Consumer<CompanionEvent> publish, Runnable ended) {
        super(attempt, publish, ended);
    }

    @Override
    public void head(int status, List<Header> headers) {
        publish(new CompanionEvent.TargetAnswerStarted(attempt(), status, ForwardedHeaders.forwardable(headers)));
    }

    @Override
    public boolean part(byte[] bytes) {
        takePlace();
        publish(new CompanionEvent.TargetChunk(attempt(), bytes, ""));
        return hasPlace();
    }

    @Override
    public void end() {
        finish(new CompanionEvent.TargetAnswerEnded(attempt(), Usage.NONE));
    }
}
