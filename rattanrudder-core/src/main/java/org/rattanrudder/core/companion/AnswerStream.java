package org.rattanrudder.core.companion;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;

/**
 * The answer of one attempt as numbered chunks, of which those that the entry hasn't confirmed are kept for a resume.
 *
 * <p>The target is read only as far as the entry's credits go, so at most a window of chunks is ever kept.
 */
final class AnswerStream {
    private final AttemptId attempt;
    private final ArrayDeque<byte[]> kept = new ArrayDeque<>();
    private Frame.AnswerHead head;
    private Frame end;
    private long firstKept;
    private long keptBytes;
    private long next;
    private long credits;
    private long allowed = CompanionEffect.INITIAL_WINDOW_CHUNKS;

    AnswerStream(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Returns the number of the next chunk. */
    long next() {
        return next;
    }

    /** Returns how many chunks are kept. */
    int keptChunks() {
        return kept.size();
    }

    long keptBytes() {
        return keptBytes;
    }

    boolean hasHead() {
        return head != null;
    }

    boolean hasEnded() {
        return end != null;
    }

    /** Returns whether the target has given all that the window lets it. */
    boolean isWindowUsed() {
        return next >= allowed;
    }

    Frame begin(Frame.AnswerHead answerHead) {
        head = answerHead;
        return head;
    }

    Frame add(byte[] bytes) {
        kept.add(bytes);
        keptBytes += bytes.length;
        return new Frame.AnswerChunk(attempt, next++, bytes);
    }

    Frame end(Frame last) {
        end = last;
        return end;
    }

    /** Takes a credit: the entry's caller has taken as many chunks, which needn't be kept any more. */
    void credit(int chunks) {
        credits += chunks;
        allowed += chunks;
        forgetBefore(Math.min(credits, next));
    }

    /**
     * Takes up the stream again on another link.
     *
     * <p>Credits that were on the old link are lost with it; without widening the window here, a stream that changed
     * links a few times would stop for good once the lost credits added up to the window.
     *
     * @param nextChunk the first chunk that the entry lacks
     * @param sink takes the frames that it lacks
     * @return how many more chunks the target may be read, or empty if those chunks aren't kept
     */
    Optional<Integer> resume(long nextChunk, Consumer<Frame> sink) {
        if (nextChunk < firstKept || nextChunk > next) {
            return Optional.empty();
        }
        forgetBefore(nextChunk);
        if (head != null) {
            sink.accept(head);
        }
        long number = nextChunk;
        for (Iterator<byte[]> chunks = kept.iterator(); chunks.hasNext(); number++) {
            sink.accept(new Frame.AnswerChunk(attempt, number, chunks.next()));
        }
        if (end != null) {
            sink.accept(end);
        }
        long widened = Math.max(allowed, nextChunk + CompanionEffect.INITIAL_WINDOW_CHUNKS);
        int more = (int) (widened - allowed);
        allowed = widened;
        return Optional.of(more);
    }

    private void forgetBefore(long number) {
        while (firstKept < number) {
            keptBytes -= kept.remove().length;
            firstKept++;
        }
    }
}
