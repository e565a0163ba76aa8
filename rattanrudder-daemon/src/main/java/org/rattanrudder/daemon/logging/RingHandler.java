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
 * Hands lines over to a thread that writes them, so that nothing waits for whoever reads the log.
 *
 * <p>A reader that stalls would otherwise stop the event loop in the middle of a request. Lines wait in a ring of fixed
 * size; when it is full, further ones are dropped, and their number is written as soon as there is room. The writer
 * looks every few milliseconds in place of being woken for each line: a wake-up costs more than the line.
 */
final class RingHandler extends Handler {
    /** Lines that wait at most, about a second of the highest rate that is allowed. */
    private static final int LINES = 4_096;

    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final RingBuffer<Slot> ring = RingBuffer.createMultiProducer(Slot::new, LINES);
    private final EventPoller<Slot> poller = ring.newPoller();
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final Thread writer;
    private volatile boolean closed;

    /** One place of the ring. */
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
        if (!ring.tryPublishEvent((slot, sequence, given) -> slot.line = given, line)) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        while (!closed) {
            drain();
            LockSupport.parkNanos(LOOK_NANOS);
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
            reportError("lines lost", failed, ErrorManager.WRITE_FAILURE);
        }
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            out.print(getFormatter().format(new LogRecord(Level.WARNING, "event=lines_dropped count=" + lost)));
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
