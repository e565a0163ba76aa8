package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.rattanrudder.core.model.Address;

/**
 * Stands in for a plain service, such as a fuel ledger. It lists every entry as often as it was run, so that a doubled
 * one shows.
 *
 * <p>Options: {@code work_millis} (time that a call takes), {@code load_lag_millis}.
 */
public final class PlainServiceStandIn implements StandIn {
    private volatile long workMillis;
    private final long lagNanos;
    private final StandInServer server;
    private final List<String> entries = new ArrayList<>();
    private final AtomicInteger running = new AtomicInteger();
    private int reportedRunning;
    private long reportedNanos = System.nanoTime();

    /** Starts a plain service at the address. */
    public PlainServiceStandIn(InetSocketAddress listen, Options options) {
        workMillis = options.number("work_millis", 1);
        lagNanos = TimeUnit.MILLISECONDS.toNanos(options.number("load_lag_millis", 200));
        options.refuseUnread();
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

    /** Returns every entry, as often as it was run, in order. */
    public synchronized List<String> entries() {
        return List.copyOf(entries);
    }

    /** Sets how long a call takes from now on; its effect comes at the end. */
    public void takeMillis(long millis) {
        workMillis = millis;
    }

    /** Returns how many calls it runs now, without the lag of its load report. */
    public int running() {
        return running.get();
    }

    private Reply answer(StandInCall call) {
        if (call.is("GET", "/load")) {
            return load();
        }
        if (server.faults().isFull()) {
            return Reply.error(503, "full");
        }
        running.incrementAndGet();
        try {
            Pace.waitUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(workMillis));
            return run(call);
        } finally {
            running.decrementAndGet();
        }
    }

    private synchronized Reply run(StandInCall call) {
        if (call.is("POST", "/entries")) {
            entries.add(new String(call.body(), StandardCharsets.UTF_8));
            return Reply.json(201, Json.object().put("id", entries.size()));
        }
        if (call.is("GET", "/entries")) {
            return Reply.json(200, Map.of("entries", entries));
        }
        if (call.is("GET", "/status")) {
            return Reply.json(200, Json.object().put("status", "ok").put("entries", entries.size()));
        }
        return Reply.error(404, "no such path");
    }

    private synchronized Reply load() {
        long now = System.nanoTime();
        ObjectNode report = Json.object()
                .put("running", reportedRunning)
                .put("waiting", 0)
                .put("age_millis", TimeUnit.NANOSECONDS.toMillis(now - reportedNanos));
        if (now - reportedNanos >= lagNanos) {
            reportedNanos = now;
            reportedRunning = running.get();
        }
        return Reply.json(200, report);
    }
}
