package org.rattanrudder.wire.link;

import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of frames over all links of a process, those that have ended included. */
public final class LinkTraffic {
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    /** Returns how many bytes of frames have been handed to links. */
    public long sentBytes() {
        return sent.sum();
    }

    /** Returns how many bytes of frames have arrived. */
    public long receivedBytes() {
        return received.sum();
    }

    void countSent(int bytes) {
        sent.add(bytes);
    }

    void countReceived(int bytes) {
        received.add(bytes);
    }
}
