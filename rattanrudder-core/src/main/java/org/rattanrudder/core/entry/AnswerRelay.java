package org.rattanrudder.core.entry;

import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;

/**
 * Passes the frames of answers on to their callers, each chunk once and in order.
 *
 * <p>Frames may come late, crossed, doubled or not at all: after a link broke, the companion sends again from where it
 * was asked to, while chunks of before may still arrive.
 */
final class AnswerRelay {
    private static final int CREDIT_BATCH = 16;

    private final Requests requests;
    private final Attempts attempts;
    private final Endings endings;
    private final Outbox outbox;

    AnswerRelay(Requests requests, Attempts attempts, Endings endings, Outbox outbox) {
        this.requests = requests;
        this.attempts = attempts;
        this.endings = endings;
        this.outbox = outbox;
    }

    /** Takes a frame of an attempt; dropped unless it belongs to the present attempt of a request. */
    void take(Address companion, Frame.AttemptFrame frame, long nowMicros) {
        requests.byAttempt(frame.attempt(), companion).ifPresent(inFlight -> take(inFlight, frame, nowMicros));
    }

    private void take(InFlight inFlight, Frame.AttemptFrame frame, long nowMicros) {
        if (frame instanceof Frame.AnswerChunk chunk) {
            takeChunk(inFlight, chunk, nowMicros);
        } else if (frame instanceof Frame.Accepted) {
            accept(inFlight);
        } else if (frame instanceof Frame.AnswerHead head) {
            takeHead(inFlight, head, nowMicros);
        } else if (frame instanceof Frame.AnswerEnd end) {
            takeEnd(inFlight, end, nowMicros);
        } else if (frame instanceof Frame.NotRun notRun) {
            attempts.notRun(inFlight, notRun, nowMicros);
        } else if (frame instanceof Frame.AnswerFailed failed) {
            accept(inFlight);
            attempts.failed(inFlight, failed.refusal(), nowMicros);
        }
    }

    private static void accept(InFlight inFlight) {
        if (!inFlight.accepted) {
            inFlight.accepted = true;
            inFlight.route.target().accepted(inFlight.route.contextMicros());
        }
    }

    private void takeHead(InFlight inFlight, Frame.AnswerHead head, long nowMicros) {
        accept(inFlight);
        if (inFlight.begun) {
            return;
        }
        inFlight.begun = true;
        inFlight.status = head.status();
        inFlight.progressMicros = nowMicros;
        outbox.emit(new EntryEffect.BeginAnswer(inFlight.sequence, head.status(), head.headers()));
    }

    private void takeChunk(InFlight inFlight, Frame.AnswerChunk chunk, long nowMicros) {
        if (chunk.number() < inFlight.nextChunk) {
            return;
        }
        if (chunk.number() > inFlight.nextChunk || !inFlight.begun) {
            resumeOnce(inFlight, nowMicros);
            return;
        }
        inFlight.nextChunk++;
        inFlight.progressMicros = nowMicros;
        if (inFlight.firstByteMicros < 0) {
            inFlight.firstByteMicros = nowMicros;
        }
        outbox.emit(new EntryEffect.SendChunk(inFlight.sequence, chunk.bytes()));
    }

    private void takeEnd(InFlight inFlight, Frame.AnswerEnd end, long nowMicros) {
        if (!inFlight.begun || end.chunks() > inFlight.nextChunk) {
            // Chunks are missing: ending here would give the caller a part for the whole.
            resumeOnce(inFlight, nowMicros);
            return;
        }
        if (end.chunks() < inFlight.nextChunk) {
            attempts.failed(inFlight, new Refusal(ErrorKind.INTERNAL, 0, "the answer has too many chunks"), nowMicros);
            return;
        }
        if (inFlight.firstByteMicros < 0) {
            inFlight.firstByteMicros = nowMicros;
        }
        inFlight.usage = end.usage();
        inFlight.route.target().ended();
        endings.answered(inFlight, nowMicros);
    }

    /** Every chunk after a gap shows the same gap; one request for what is missing is enough. */
    private void resumeOnce(InFlight inFlight, long nowMicros) {
        if (nowMicros - inFlight.resumedMicros >= Attempts.RESUME_AGAIN_MICROS) {
            attempts.resume(inFlight, nowMicros);
        } else {
            attempts.resumeLater(inFlight);
        }
    }

    /** The caller's connection took chunks: the companion may send as many more. */
    void callerTook(InFlight inFlight, int chunks, long nowMicros) {
        long before = inFlight.takenChunks;
        inFlight.takenChunks += chunks;
        inFlight.progressMicros = nowMicros;
        long credited = inFlight.takenChunks - Math.max(before, inFlight.creditedFrom);
        inFlight.unsentCredit += (int) Math.max(0, credited);
        if (inFlight.unsentCredit >= CREDIT_BATCH) {
            outbox.send(inFlight.companion(), new Frame.Credit(inFlight.attempt, inFlight.unsentCredit));
            inFlight.unsentCredit = 0;
        }
    }
}
