package org.rattanrudder.core.entry;

import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;

/**
 * Forwards answers from companions to callers, each chunk exactly once and in order.
 *
 * <p>Frames may be delayed, reordered, duplicated or lost: after a link was lost, the companion resends from the chunk
 * that the entry asks for, while earlier frames may still arrive.
 */
final class AnswerRelay {
    private static final int CREDIT_BATCH_CHUNKS = 16;

    private final InFlightRequests requests;
    private final RequestDispatcher dispatcher;
    private final RequestCompleter completer;
    private final Outbox outbox;

    AnswerRelay(InFlightRequests requests, RequestDispatcher dispatcher, RequestCompleter completer, Outbox outbox) {
        this.requests = requests;
        this.dispatcher = dispatcher;
        this.completer = completer;
        this.outbox = outbox;
    }

    /** Handles a frame of an attempt; drops it unless it belongs to the current attempt of a request. */
    void onFrame(Address companion, Frame.AttemptFrame frame, long nowMicros) {
        requests.byAttempt(frame.attempt(), companion).ifPresent(inFlight -> onFrame(inFlight, frame, nowMicros));
    }

    private void onFrame(InFlightRequest inFlight, Frame.AttemptFrame frame, long nowMicros) {
        if (frame instanceof Frame.AnswerChunk chunk) {
            onChunk(inFlight, chunk, nowMicros);
        } else if (frame instanceof Frame.Accepted) {
            markAccepted(inFlight);
        } else if (frame instanceof Frame.AnswerHead head) {
            onHead(inFlight, head, nowMicros);
        } else if (frame instanceof Frame.AnswerEnd end) {
            onEnd(inFlight, end, nowMicros);
        } else if (frame instanceof Frame.NotRun notRun) {
            dispatcher.onNotRun(inFlight, notRun, nowMicros);
        } else if (frame instanceof Frame.AnswerFailed failed) {
            markAccepted(inFlight);
            dispatcher.onFailed(inFlight, failed.refusal(), nowMicros);
        }
    }

    private static void markAccepted(InFlightRequest inFlight) {
        if (!inFlight.accepted) {
            inFlight.accepted = true;
            inFlight.route.target().onAccepted(inFlight.route.contextMicros());
        }
    }

    private void onHead(InFlightRequest inFlight, Frame.AnswerHead head, long nowMicros) {
        markAccepted(inFlight);
        if (inFlight.answerStarted) {
            return;
        }
        inFlight.answerStarted = true;
        inFlight.status = head.status();
        inFlight.progressMicros = nowMicros;
        outbox.emit(new EntryEffect.BeginAnswer(inFlight.sequence, head.status(), head.headers()));
    }

    private void onChunk(InFlightRequest inFlight, Frame.AnswerChunk chunk, long nowMicros) {
        if (chunk.number() < inFlight.nextChunk) {
            return;
        }
        if (chunk.number() > inFlight.nextChunk || !inFlight.answerStarted) {
            requestMissingChunks(inFlight, nowMicros);
            return;
        }
        inFlight.nextChunk++;
        inFlight.progressMicros = nowMicros;
        if (inFlight.firstByteMicros < 0) {
            inFlight.firstByteMicros = nowMicros;
        }
        outbox.emit(new EntryEffect.SendChunk(inFlight.sequence, chunk.bytes()));
    }

    private void onEnd(InFlightRequest inFlight, Frame.AnswerEnd end, long nowMicros) {
        if (!inFlight.answerStarted || end.chunks() > inFlight.nextChunk) {
            // Chunks are missing: ending the answer here would present a truncated answer to the caller as complete.
            requestMissingChunks(inFlight, nowMicros);
            return;
        }
        if (end.chunks() < inFlight.nextChunk) {
            dispatcher.onFailed(
                    inFlight, new Refusal(ErrorKind.INTERNAL, 0, "the answer has too many chunks"), nowMicros);
            return;
        }
        if (inFlight.firstByteMicros < 0) {
            inFlight.firstByteMicros = nowMicros;
        }
        inFlight.usage = end.usage();
        inFlight.route.target().onEnded();
        completer.onAnswered(inFlight, nowMicros);
    }

    /** Requests the missing chunks once; every further chunk after the same gap would otherwise repeat the request. */
    private void requestMissingChunks(InFlightRequest inFlight, long nowMicros) {
        if (nowMicros - inFlight.resumeSentMicros >= RequestDispatcher.RESUME_RETRY_MICROS) {
            dispatcher.resume(inFlight, nowMicros);
        } else {
            dispatcher.scheduleResume(inFlight);
        }
    }

    /** Handles chunks written to the caller's connection: grants the companion credit for as many more. */
    void onChunksWritten(InFlightRequest inFlight, int chunks, long nowMicros) {
        long before = inFlight.writtenChunks;
        inFlight.writtenChunks += chunks;
        inFlight.progressMicros = nowMicros;
        long credited = inFlight.writtenChunks - Math.max(before, inFlight.creditStartChunk);
        inFlight.pendingCredit += (int) Math.max(0, credited);
        if (inFlight.pendingCredit >= CREDIT_BATCH_CHUNKS) {
            outbox.send(inFlight.companion(), new Frame.Credit(inFlight.attempt, inFlight.pendingCredit));
            inFlight.pendingCredit = 0;
        }
    }
}
