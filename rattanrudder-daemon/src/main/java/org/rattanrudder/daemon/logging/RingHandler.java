package org.rattanrudder.daemon.logging;

import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.Sequence;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a separate thread, so that no other thread waits for the reader of the log.
 *
 * <p>Otherwise a stalled reader would block the event loop in the middle of a request. Lines are queued in a ring of
 * fixed size; when it is full, further lines are dropped, and their number is logged as soon as there is room. The
 * writer polls the ring instead of being woken for each line, since a wake-up costs more than writing the line.
 */
final class RingHandler extends Handler {
    /** The maximum number of queued lines, about one second at the highest permitted rate. */
    private static final int RING_SIZE = 4_096;

    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final RingBuffer<Slot> ring = RingBuffer.createMultiProducer(Slot::new, RING_SIZE);
    private final EventPoller<Slot> poller = ring.newPoller();
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final Thread writer;
    private volatile boolean closed;

    /** A slot of the ring buffer. */
    private static final class Slot {
        private LogRecord line;
    }

    RingHandler(OutputStream out) {
        this.out = new PrintStream(out, false, StandardCharsets.UTF_8);
        Sequence read = poller.getSequence();
        ring.addGatingSequences(read);
        writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord line) {
        if (closed || !isLoggable(line)) {
            return;
        }
        if (!ring.tryPublishEvent((slot, sequence, published) -> slot.line = published, line)) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        while (!closed) {
            drain();
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private synchronized void drain() {
        try {
            poller.poll((slot, sequence, last) -> {
                out.print(getFormatter().format(slot.line));
                slot.line = null;
                return true;
            });
        } catch (Exception failed) {
            reportError("can't write log lines", failed, ErrorManager.WRITE_FAILURE);
        }
        long droppedCount = dropped.getAndSet(0);
        if (droppedCount > 0) {
            out.print(getFormatter().format(new LogRecord(Level.WARNING, "event=lines_dropped count=" + droppedCount)));
        }
        out.flush();
    }

    @Override
    public void flush() {
        drain();
    }

    @Override
    public void close() {
        drain();
        closed = true;
    }
}
