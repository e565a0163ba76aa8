package org.rattanrudder.daemon.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.model.ErrorKind;
import org.rattanrudder.core.model.Refusal;
import org.rattanrudder.daemon.http.ErrorResponse;
import org.rattanrudder.daemon.http.ForwardedHeaders;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;

/**
 * The answer to one caller. The handler thread orders, the exchange's I/O thread does: all state belongs to the latter.
 */
final class CallerExchange {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    private static final int WRITE_BYTES = 16 << 10;
    private static final int WHOLE_ANSWER_BYTES = 64 << 20;
    private static final long STUCK_SECONDS = 60;

    private final HttpServerExchange exchange;
    private final long sequence;
    private final String requestId;
    private final AnswerForm form;
    private final CallerEvents events;

    private final Queue<byte[]> chunks = new ArrayDeque<>();
    private StreamSinkChannel channel;
    private ByteBuffer writing = ByteBuffer.allocate(0);
    private int chunksInWriting;
    private CompletionAssembler assembler;
    private boolean streamed;
    private boolean begun;
    private Ending ending = Ending.NONE;
    private boolean ended;
    private XnioExecutor.Key stuck;

    /** How a caller wants its answer. */
    enum AnswerForm {
        /** As it comes from a plain service. */
        PLAIN,
        /** A completion as server-sent events. */
        STREAMED,
        /** A completion as one JSON object. */
        WHOLE
    }

    /** What happens once everything is written. */
    private enum Ending {
        NONE,
        WHOLE,
        BROKEN
    }

    CallerExchange(HttpServerExchange exchange, long sequence, String requestId, AnswerForm form, CallerEvents events) {
        this.exchange = exchange;
        this.sequence = sequence;
        this.requestId = requestId;
        this.form = form;
        this.events = events;
    }

    /** Begins to watch for the caller's going away; on the I/O thread. */
    void watch() {
        exchange.getConnection().addCloseListener(gone -> connectionGone());
        exchange.addExchangeCompleteListener((completed, next) -> {
            events.ended(sequence);
            next.proceed();
        });
        new CloseWatch(exchange, this::connectionGone).begin();
    }

    void begin(int status, List<Header> headers) {
        onThread(() -> {
            exchange.setStatusCode(status);
            boolean eventStream = headers.stream()
                    .anyMatch(header -> header.name().equalsIgnoreCase("Content-Type")
                            && header.value().startsWith("text/event-stream"));
            streamed = eventStream && form == AnswerForm.STREAMED;
            if (eventStream && form == AnswerForm.WHOLE) {
                assembler = new CompletionAssembler(WHOLE_ANSWER_BYTES);
                return;
            }
            ForwardedHeaders.addTo(exchange.getResponseHeaders(), headers);
            openChannel();
        });
    }

    void send(byte[] chunk) {
        onThread(() -> {
            if (assembler != null) {
                assemble(chunk);
                return;
            }
            chunks.add(chunk);
            write();
        });
    }

    void end() {
        onThread(() -> {
            if (assembler != null) {
                sendWhole();
                return;
            }
            if (streamed) {
                chunks.add(DONE);
            }
            ending = Ending.WHOLE;
            write();
        });
    }

    void refuse(Refusal refusal) {
        onThread(() -> {
            if (!begun) {
                ended = true;
                exchange.getResponseHeaders().clear();
                ErrorResponse.send(exchange, refusal, requestId);
                return;
            }
            if (streamed) {
                chunks.add(errorEvent(refusal));
            }
            ending = Ending.BROKEN;
            write();
        });
    }

    private void onThread(Runnable action) {
        exchange.getIoThread().execute(() -> {
            if (!ended) {
                action.run();
            }
        });
    }

    private void openChannel() {
        begun = true;
        exchange.getResponseHeaders().put(ErrorResponse.REQUEST_HEADER, requestId);
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(ready -> write());
    }

    private void assemble(byte[] chunk) {
        try {
            assembler.add(chunk);
            events.took(sequence, 1);
        } catch (IOException tooLarge) {
            // The engine's answer can't be put together: the caller hears so at once, and the machine that nobody
            // waits for the rest.
            refuse(new Refusal(ErrorKind.TARGET_FAILED, 0, "the answer can't be given whole"));
            events.gone(sequence);
        }
    }

    private void sendWhole() {
        try {
            byte[] whole = assembler.whole();
            assembler = null;
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, whole.length);
            openChannel();
            chunks.add(whole);
            ending = Ending.WHOLE;
            write();
        } catch (IOException unwritable) {
            refuse(new Refusal(ErrorKind.INTERNAL, 0, "the answer can't be written"));
        }
    }

    private byte[] errorEvent(Refusal refusal) {
        String body = new String(ErrorResponse.body(refusal, requestId), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + body + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Writes what the connection takes; what it doesn't take is written when it is ready again. */
    private void write() {
        if (ended || channel == null) {
            return;
        }
        try {
            while (writing.hasRemaining() || fill()) {
                if (channel.write(writing) == 0) {
                    waitForCaller();
                    return;
                }
                if (!writing.hasRemaining()) {
                    taken();
                }
            }
            if (!channel.flush()) {
                waitForCaller();
                return;
            }
            callerReads();
            channel.suspendWrites();
            finish();
        } catch (IOException failed) {
            connectionGone();
        }
    }

    /** Takes the next chunks together, as many as fit one write, or one that is larger. */
    private boolean fill() {
        byte[] first = chunks.poll();
        if (first == null) {
            return false;
        }
        List<byte[]> parts = new ArrayList<>();
        parts.add(first);
        int size = first.length;
        while (chunks.peek() != null && size + chunks.peek().length <= WRITE_BYTES) {
            size += chunks.peek().length;
            parts.add(chunks.poll());
        }
        ByteBuffer joined = ByteBuffer.allocate(size);
        parts.forEach(joined::put);
        writing = joined.flip();
        chunksInWriting = parts.size();
        return size > 0 || fill();
    }

    /** Says that the socket has what was written: only then may the target send as much again. */
    private void taken() {
        events.took(sequence, chunksInWriting);
        chunksInWriting = 0;
        callerReads();
    }

    private void waitForCaller() {
        channel.resumeWrites();
        if (stuck == null) {
            // A caller that stopped reading for good would keep its answer, its window and its place at the target.
            stuck = exchange.getIoThread().executeAfter(this::connectionStuck, STUCK_SECONDS, TimeUnit.SECONDS);
        }
    }

    private void callerReads() {
        if (stuck != null) {
            stuck.remove();
            stuck = null;
        }
    }

    private void connectionStuck() {
        stuck = null;
        connectionGone();
    }

    private void finish() throws IOException {
        if (ending == Ending.WHOLE) {
            ended = true;
            channel.getWriteSetter().set(ready -> flushLast());
            channel.shutdownWrites();
            flushLast();
        } else if (ending == Ending.BROKEN) {
            ended = true;
            breakOff();
            events.ended(sequence);
        }
    }

    /** Closes the connection so that the answer looks cut: without the last chunk or, if there are none, by a reset. */
    private void breakOff() throws IOException {
        if (exchange.isHttp10()) {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    private void flushLast() {
        try {
            if (channel.flush()) {
                channel.suspendWrites();
                exchange.endExchange();
            } else {
                channel.resumeWrites();
            }
        } catch (IOException gone) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void connectionGone() {
        if (ended) {
            return;
        }
        ended = true;
        callerReads();
        IoUtils.safeClose(exchange.getConnection());
        events.gone(sequence);
        events.ended(sequence);
    }
}
