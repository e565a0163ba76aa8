package org.rattanrudder.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.rattanrudder.core.model.Address;

/**
 * Stands in for the weight store: a limited rate that all readers share, halved while more than two read at once.
 *
 * <p>Options: {@code weight_bytes} (size of any version), {@code rate_bytes_per_second}.
 */
public final class WeightStoreStandIn implements StandIn {
    private static final int READERS_AT_FULL_RATE = 2;
    private static final int PART_BYTES = 8 * 1024;

    private final long weightBytes;
    private final long bytesPerSecond;
    private final AtomicInteger readers = new AtomicInteger();
    private final AtomicInteger mostReaders = new AtomicInteger();
    private final Pace pace;
    private final StandInServer server;

    /** Starts a weight store at the address. */
    public WeightStoreStandIn(InetSocketAddress listen, Options options) {
        weightBytes = options.number("weight_bytes", 1_000_000);
        bytesPerSecond = options.number("rate_bytes_per_second", 4_000_000);
        options.refuseUnread();
        pace = new Pace(() -> readers.get() > READERS_AT_FULL_RATE ? bytesPerSecond / 2 : bytesPerSecond);
        server = new StandInServer(listen, this::answer, path -> true, false);
    }

    @Override
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    /** Returns the most readers that there were at once. */
    public int mostReaders() {
        return mostReaders.get();
    }

    private Reply answer(StandInCall call) {
        if (call.isUnder("GET", "/weights/") && call.segments().size() == 3) {
            return new Reply(200, Map.of("Content-Type", "application/octet-stream"), weightBytes, this::send);
        }
        if (call.is("GET", "/stats")) {
            return Reply.json(
                    200,
                    server.meter()
                            .addTo(Json.object().put("readers", readers.get()).put("most_readers", mostReaders())));
        }
        return Reply.error(404, "no such path");
    }

    private void send(Reply.Sink sink) throws IOException {
        int now = readers.incrementAndGet();
        mostReaders.accumulateAndGet(now, Math::max);
        try {
            byte[] part = new byte[PART_BYTES];
            for (long left = weightBytes; left > 0; left -= PART_BYTES) {
                int length = (int) Math.min(PART_BYTES, left);
                pace.take(length);
                sink.send(part, 0, length);
            }
        } finally {
            readers.decrementAndGet();
        }
    }
}
