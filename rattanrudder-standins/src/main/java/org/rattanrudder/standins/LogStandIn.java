package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.model.Address;

/**
 * Stands in for the platform's append-only log: offsets from 1 in each stream, an append rate over all streams, limited
 * retention, outages and lost answers.
 *
 * <p>Options: {@code append_rate} (appends a second), {@code retention_millis}.
 */
public final class LogStandIn implements StandIn {
    private static final int MOST_RECORDS_IN_AN_ANSWER = 1_000;

    private final long appendRate;
    private final long retentionNanos;
    private final StandInServer server;
    private final Map<String, Records> streams = new HashMap<>();
    private double appendsLeft;
    private long refilledNanos = System.nanoTime();

    /** Starts a log at the address. */
    public LogStandIn(InetSocketAddress listen, Options options) {
        appendRate = options.number("append_rate", 300);
        retentionNanos = TimeUnit.MILLISECONDS.toNanos(options.number("retention_millis", 86_400_000));
        appendsLeft = appendRate;
        options.refuseUnread();
        server = new StandInServer(listen, this::answer, path -> true, true);
    }

    @Override
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private Reply answer(StandInCall call) {
        if (call.isUnder("POST", "/log/")) {
            return append(call.segments().get(1), call.body());
        }
        if (call.isUnder("GET", "/log/")) {
            return read(call.segments().get(1), call.query("from", 1), call.query("wait_millis", 0));
        }
        return Reply.error(404, "no such path");
    }

    private synchronized Reply append(String stream, byte[] data) {
        if (server.faults().isFull() || !takeAppend()) {
            return Reply.error(429, "over the append rate");
        }
        Records records = streams.computeIfAbsent(stream, name -> new Records());
        long offset = records.add(data);
        notifyAll();
        return Reply.json(200, Json.object().put("offset", offset));
    }

    private boolean takeAppend() {
        long now = System.nanoTime();
        double refill = (now - refilledNanos) / 1e9 * appendRate;
        refilledNanos = now;
        // A tenth of a second's appends may come at once.
        appendsLeft = Math.min(Math.max(1, appendRate / 10.0), appendsLeft + refill);
        if (appendsLeft < 1) {
            return false;
        }
        appendsLeft--;
        return true;
    }

    private synchronized Reply read(String stream, long from, long waitMillis) {
        Records records = streams.computeIfAbsent(stream, name -> new Records());
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        while (records.next <= from && !server.faults().isDown()) {
            long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (left <= 0 || !waitFor(left)) {
                break;
            }
        }
        if (server.faults().isDown()) {
            return Reply.error(503, "in an outage");
        }
        return records.report(from);
    }

    private boolean waitFor(long millis) {
        try {
            wait(millis);
            return true;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** The records of one stream that are still kept. */
    private final class Records {
        private final List<Kept> kept = new ArrayList<>();
        private long first = 1;
        private long next = 1;

        long add(byte[] data) {
            kept.add(new Kept(System.nanoTime(), data));
            return next++;
        }

        Reply report(long from) {
            dropOld();
            ObjectNode report = Json.object().put("first", first);
            ArrayNode listed = report.putArray("records");
            long offset = Math.max(from, first);
            for (; offset < next && listed.size() < MOST_RECORDS_IN_AN_ANSWER; offset++) {
                byte[] data = kept.get((int) (offset - first)).data();
                listed.addObject().put("offset", offset).put("data", data);
            }
            return Reply.json(200, report.put("next", Math.min(offset, next)));
        }

        private void dropOld() {
            long oldest = System.nanoTime() - retentionNanos;
            int old = 0;
            while (old < kept.size() && kept.get(old).atNanos() - oldest < 0) {
                old++;
            }
            kept.subList(0, old).clear();
            first += old;
        }
    }

    /**
     * One record.
     *
     * @param atNanos when it was appended
     * @param data its bytes
     */
    private record Kept(long atNanos, byte[] data) {}
}
