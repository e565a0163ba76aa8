package org.rattanrudder.wire.link;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.rattanrudder.core.frame.Frame;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.wire.frame.FrameCodec;

/** One connection to a peer. Safe for use by several threads; {@link #send} never blocks. */
public final class Link {
    private final Address peer;
    private final LinkSettings settings;
    private final LinkTraffic traffic;
    private final LinkListener listener;
    private final AtomicLong pending = new AtomicLong();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Channel channel;
    private volatile boolean released;

    Link(Address peer, LinkSettings settings, LinkTraffic traffic, LinkListener listener) {
        this.peer = peer;
        this.settings = settings;
        this.traffic = traffic;
        this.listener = listener;
    }

    /** Returns the peer's address: the one connected to, or the one that it connected from. */
    public Address peer() {
        return peer;
    }

    /** Returns how many bytes wait to be taken by the connection. */
    public long pendingBytes() {
        return pending.get();
    }

    /** Returns whether {@link #close()} was called: nothing more is to be heard from it. */
    public boolean isReleased() {
        return released;
    }

    /** Sends a frame; it is lost if the link isn't up. A frame over the size limit closes the link. */
    public void send(Frame frame) {
        Channel open = channel;
        if (open == null || released || ended.get()) {
            return;
        }
        byte[] bytes = FrameCodec.encode(frame);
        if (bytes.length > settings.frameBytes()) {
            fail("a frame of " + bytes.length + " bytes to send is over the limit");
            return;
        }
        // A peer that has stopped reading would let frames pile up here until the process is out of memory; bytes that
        // the socket hasn't taken are counted from this call on, and the link is given up at the bound. The machine
        // learns of it by the link's end and resumes or retries over a fresh one.
        if (pending.addAndGet(bytes.length) > settings.pendingBytes()) {
            fail("the peer doesn't read: " + pending.get() + " bytes pending");
            return;
        }
        traffic.countSent(bytes.length);
        open.writeAndFlush(Unpooled.wrappedBuffer(bytes))
                .addListener(written -> pending.addAndGet(-(long) bytes.length));
    }

    /** Closes the link; the listener hears nothing more of it. */
    public void close() {
        released = true;
        closeChannel();
    }

    void connected(Channel opened) {
        channel = opened;
        if (released) {
            opened.close();
        }
    }

    void opened(Frame.Hello hello) {
        if (!released) {
            listener.opened(this, hello);
        }
    }

    void arrived(Frame frame) {
        if (!released) {
            listener.arrived(this, frame);
        }
    }

    void countReceived(int bytes) {
        traffic.countReceived(bytes);
    }

    /** Ends the link for a reason of ours or of the peer's; tells the listener once. */
    void fail(String reason) {
        if (ended.compareAndSet(false, true) && !released) {
            listener.closed(this, reason);
        }
        closeChannel();
    }

    private void closeChannel() {
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }
}
