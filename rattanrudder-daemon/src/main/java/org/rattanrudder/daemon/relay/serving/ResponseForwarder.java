package org.rattanrudder.daemon.relay.serving;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.rattanrudder.core.gateway.BodyPosition;
import org.rattanrudder.core.gateway.EventStreamScanner;
import org.rattanrudder.core.gateway.RepeatRule;
import org.rattanrudder.core.memory.Holding;
import org.rattanrudder.daemon.relay.port.RequestDialect;
import org.rattanrudder.daemon.relay.streams.EventFramer;
import org.rattanrudder.daemon.relay.targets.ResponseFraming;

/**
 * Forwards a target's response to the caller.
 *
 * <p>The response of a plain service is buffered until it is complete, so that a response from another target can
 * replace it if the connection breaks. Stream events are forwarded as they arrive; where another target may resume the
 * stream, only complete events are forwarded.
 */
final class ResponseForwarder {
    /** A plain response up to this size is buffered until it is complete. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private static final int INITIAL_BUFFER_BYTES = 1_024;

    /** An event is counted among held bytes once more of it is kept. */
    private static final int MAX_UNCOUNTED_EVENT_BYTES = 4_096;

    /** How many times its size an event takes whose buffer grows. */
    private static final long GROWING_RATIO = 2;

    private final ResponseWriter writer;
    private final RequestDialect dialect;
    private final Runnable onFirstByte;
    private final boolean streamRoute;
    private final EventStreamScanner scanner = new EventStreamScanner();
    private final Optional<EventFramer> framer;
    private HttpResponse head;
    private boolean events;
    private boolean streamed;
    private ByteBuf buffered;
    private Holding held;
    private boolean begun;

    /** Creates a forwarder; {@code onFirstByte} runs before the first byte is written to the caller. */
    ResponseForwarder(ResponseWriter writer, RequestDialect dialect, RepeatRule repeat, Runnable whenBegun) {
        this.writer = writer;
        this.dialect = dialect;
        this.onFirstByte = whenBegun;
        streamRoute = repeat.stream();
        framer = streamRoute && repeat.repeatable() ? Optional.of(new EventFramer(scanner)) : Optional.empty();
    }

    /** Returns whether anything was written to the caller. */
    boolean hasBegun() {
        return begun;
    }

    /** Returns whether another target can resume the response after what the caller has received. */
    boolean isResumable() {
        return events && framer.filter(EventFramer::isResumable).isPresent();
    }

    /** Returns whether the current response has brought an event, or a part of one, to the caller. */
    boolean hasForwardedEvent() {
        return events && framer.map(EventFramer::hasForwardedEvent).orElseGet(scanner::hasEvents);
    }

    /** Returns the ID of the last event that was forwarded to the caller. */
    Optional<String> lastEventId() {
        return framer.flatMap(EventFramer::lastId);
    }

    /** Returns the status of the response; 0 if there is none yet. */
    int status() {
        return head == null ? 0 : head.status().code();
    }

    /** Returns whether a response is an event stream. */
    boolean bringsEvents(HttpResponse response) {
        return ResponseFraming.isEventStream(response, streamRoute);
    }

    /** Returns whether a response can be forwarded: one that continues a stream must be an event stream too. */
    boolean accepts(HttpResponse response) {
        return !begun || bringsEvents(response);
    }

    /** Accepts the response head; a stream that is resumed at another target keeps its first head. */
    void head(HttpResponse response) {
        if (begun) {
            return;
        }
        head = response;
        events = bringsEvents(response);
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        streamed = streamRoute && !writer.isHeadRequest() && (events || success);
    }

    /** Returns where the body stands. */
    BodyPosition position() {
        return events ? scanner.position() : BodyPosition.OPAQUE;
    }

    /** Accepts a chunk of the body; the caller of this method keeps ownership of the buffer. */
    void content(ByteBuf chunk) {
        if (events && streamed && framer.isPresent()) {
            stream(framer.get().append(chunk));
            holdPending(framer.get());
            return;
        }
        if (events) {
            chunk.forEachByte(this::scan);
        }
        if (streamed) {
            stream(ByteBufUtil.getBytes(chunk));
        } else {
            buffer(chunk);
        }
    }

    /** Counts a long event that isn't complete yet; one that finds no room is forwarded in parts. */
    private void holdPending(EventFramer events) {
        long wanted = events.pendingBytes() > MAX_UNCOUNTED_EVENT_BYTES ? GROWING_RATIO * events.pendingBytes() : 0;
        if (wanted == 0 && held == null) {
            return;
        }
        held = held == null ? writer.newHolding() : held;
        held.shrinkTo(wanted);
        if (!held.tryGrowTo(wanted)) {
            held.shrinkTo(0);
            stream(events.takePending());
        }
    }

    private boolean scan(byte value) {
        scanner.accept(value);
        return true;
    }

    private void stream(byte[] ready) {
        if (ready.length > 0) {
            begin();
            writer.content(Unpooled.wrappedBuffer(ready));
        }
    }

    private void buffer(ByteBuf chunk) {
        if (begun) {
            writer.content(chunk.retain());
            return;
        }
        if (buffered == null) {
            held = writer.newHolding();
            buffered = Unpooled.buffer(Math.max(INITIAL_BUFFER_BYTES, chunk.readableBytes()));
        }
        buffered.writeBytes(chunk);
        if (buffered.readableBytes() > MAX_BUFFERED_BYTES || !held.tryGrowTo(buffered.capacity())) {
            begin();
            held.close();
            writer.content(buffered);
            buffered = null;
        }
    }

    private void begin() {
        if (begun) {
            return;
        }
        begun = true;
        onFirstByte.run();
        writer.begin(head, headers());
    }

    private HttpHeaders headers() {
        return dialect.forCaller(head.headers());
    }

    /** Completes the response. */
    void complete() {
        if (begun || streamed) {
            begin();
            writer.end();
            return;
        }
        begun = true;
        onFirstByte.run();
        writer.full(head, headers(), buffered, buffered == null ? writer.newHolding() : held);
        buffered = null;
        held = null;
    }

    /** Discards what was not forwarded of a response that won't be completed. */
    void discard() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
        if (held != null) {
            held.close();
            held = null;
        }
        if (!begun) {
            head = null;
        }
        framer.ifPresentOrElse(EventFramer::restart, scanner::restart);
    }
}
