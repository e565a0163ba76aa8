package org.rattanrudder.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.rattanrudder.core.gateway.RepeatRule;
import org.rattanrudder.daemon.relay.port.RequestDialect;

/**
 * Passes a target's answer on to the caller.
 *
 * <p>An answer of a plain service is passed on when it is whole, so that another target's can take its place if it
 * breaks off. Events of a stream go on as they arrive; where another target may continue the stream, only whole ones.
 */
final class AnswerRelay {
    /** A plain answer up to this size is held until it is whole. */
    private static final int HELD_BYTES = 256 * 1024;

    private static final int FIRST_BYTES = 1_024;

    private final CallerConnection caller;
    private final RequestDialect dialect;
    private final Runnable whenBegun;
    private final boolean stream;
    private final Optional<EventTail> tail;
    private HttpResponse head;
    private ByteBuf held;
    private boolean began;

    /** Makes a relay; {@code whenBegun} is called when the first byte goes to the caller. */
    AnswerRelay(CallerConnection caller, RequestDialect dialect, RepeatRule repeat, Runnable whenBegun) {
        this.caller = caller;
        this.dialect = dialect;
        this.whenBegun = whenBegun;
        stream = repeat.stream();
        tail = stream && repeat.repeatable() ? Optional.of(new EventTail()) : Optional.empty();
    }

    /** Returns whether something has gone to the caller. */
    boolean began() {
        return began;
    }

    /** Returns whether another target can go on from what the caller has. */
    boolean isResumable() {
        return tail.isPresent();
    }

    /** Returns the id of the last event that the caller has. */
    Optional<String> lastEventId() {
        return tail.flatMap(EventTail::lastId);
    }

    /** Returns the status of the answer; 0 if there is none yet. */
    int status() {
        return head == null ? 0 : head.status().code();
    }

    /** Takes the head; of a stream that goes on at another target the first head stays. */
    void head(HttpResponse response) {
        if (!began) {
            head = response;
        }
    }

    /** Takes a piece, which isn't taken over. */
    void content(ByteBuf piece) {
        if (!stream) {
            hold(piece);
            return;
        }
        byte[] ready = tail.isPresent() ? tail.get().take(piece) : ByteBufUtil.getBytes(piece);
        if (ready.length > 0) {
            begin();
            caller.write(Unpooled.wrappedBuffer(ready));
        }
    }

    private void hold(ByteBuf piece) {
        if (began) {
            caller.write(piece.retain());
            return;
        }
        if (held == null) {
            held = Unpooled.buffer(Math.max(FIRST_BYTES, piece.readableBytes()));
        }
        held.writeBytes(piece);
        if (held.readableBytes() > HELD_BYTES) {
            begin();
            caller.write(held);
            held = null;
        }
    }

    private void begin() {
        if (began) {
            return;
        }
        began = true;
        whenBegun.run();
        caller.begin(head, headers());
    }

    private HttpHeaders headers() {
        return dialect.forCaller(head.headers());
    }

    /** The answer is whole. */
    void complete() {
        if (tail.isPresent() && tail.get().isWithinEvent()) {
            byte[] rest = tail.get().rest();
            begin();
            caller.write(Unpooled.wrappedBuffer(rest));
        }
        if (began || stream) {
            begin();
            caller.finish();
            return;
        }
        began = true;
        whenBegun.run();
        caller.answer(head, headers(), held);
        held = null;
    }

    /** Drops what was held of an answer that won't become whole. */
    void discard() {
        if (held != null) {
            held.release();
            held = null;
        }
        if (!began) {
            head = null;
        }
        tail.ifPresent(EventTail::rest);
    }
}
