package org.rattanrudder.core.companion;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.AttemptId;

/**
 * The answer of one attempt as numbered chunks. Chunks that the entry hasn't confirmed are retained for a resume.
 *
 * <p>The target's answer is only read within the window of the entry's credits, so at most a window of chunks is
 * retained.
 */
final class AnswerStream {
    private final AttemptId attempt;
    private final ArrayDeque<byte[]> retained = new ArrayDeque<>();
    private Frame.AnswerHead head;
    private Frame end;
    private long firstRetained;
    private long retainedBytes;
    private long nextChunk;
    private long confirmedChunks;
    private long windowEnd = CompanionEffect.INITIAL_WINDOW_CHUNKS;

    AnswerStream(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Returns the number of the next chunk. */
    long nextChunk() {
        return nextChunk;
    }

    /** Returns the number of retained chunks. */
    int retainedChunks() {
        return retained.size();
    }

    long retainedBytes() {
        return retainedBytes;
    }

    boolean hasHead() {
        return head != null;
    }

    boolean hasEnded() {
        return end != null;
    }

    /** Returns whether as many chunks have been read as the window allows. */
    boolean isWindowExhausted() {
        return nextChunk >= windowEnd;
    }

    Frame begin(Frame.AnswerHead answerHead) {
        head = answerHead;
        return head;
    }

    Frame add(byte[] bytes) {
        retained.add(bytes);
        retainedBytes += bytes.length;
        return new Frame.AnswerChunk(attempt, nextChunk++, bytes);
    }

    Frame end(Frame last) {
        end = last;
        return end;
    }

    /** Handles a credit: the caller has received this number of chunks, which needn't be retained any more. */
    void credit(int chunks) {
        confirmedChunks += chunks;
        windowEnd += chunks;
        discardBefore(Math.min(confirmedChunks, nextChunk));
    }

    /**
     * Resumes the stream on another link.
     *
     * <p>Credits in flight on the old link are lost. The window is widened to make up for them. Otherwise a stream that
     * changes links a few times would stall once the lost credits add up to the whole window.
     *
     * @param fromChunk number of the first chunk that the entry lacks
     * @param sink receives the missing frames
     * @return how many more chunks of the target's answer may be read, or empty if missing chunks aren't retained
     */
    Optional<Integer> resume(long fromChunk, Consumer<Frame> sink) {
        if (fromChunk < firstRetained || fromChunk > nextChunk) {
            return Optional.empty();
        }
        discardBefore(fromChunk);
        if (head != null) {
            sink.accept(head);
        }
        long number = fromChunk;
        for (Iterator<byte[]> chunks = retained.iterator(); chunks.hasNext(); number++) {
            sink.accept(new Frame.AnswerChunk(attempt, number, chunks.next()));
        }
        if (end != null) {
            sink.accept(end);
        }
        long widened = Math.max(windowEnd, fromChunk + CompanionEffect.INITIAL_WINDOW_CHUNKS);
        int more = (int) (widened - windowEnd);
        windowEnd = widened;
        return Optional.of(more);
    }

    private void discardBefore(long number) {
        while (firstRetained < number) {
            retainedBytes -= retained.remove().length;
            firstRetained++;
        }
    }
}
