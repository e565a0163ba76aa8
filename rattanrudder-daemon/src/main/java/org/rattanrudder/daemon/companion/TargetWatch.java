package org.rattanrudder.daemon.companion;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.daemon.http.JsonBody;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;
import org.rattanrudder.wire.http.HttpTimeouts;

/** Asks one target for its load and, if it is an engine, for its cache events, again and again. */
final class TargetWatch {
    static final long PERIOD_MILLIS = 500;

    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(500, 1_000, 1_000);

    private final HttpCaller caller;
    private final ScheduledExecutorService timer;
    private final CompanionEffect.WatchTarget watched;
    private final Consumer<CompanionEvent> publish;
    private volatile boolean stopped;
    private long lastEvent;

    TargetWatch(
            HttpCaller caller,
            ScheduledExecutorService timer,
            CompanionEffect.WatchTarget watched,
            Consumer<CompanionEvent> publish) {
        this.caller = caller;
        this.timer = timer;
        this.watched = watched;
        this.publish = publish;
    }

    void start() {
        askLoad();
        if (watched.engine()) {
            askEvents();
        }
    }

    void stop() {
        stopped = true;
    }

    boolean isStopped() {
        return stopped;
    }

    private void askLoad() {
        caller.fetch(watched.target(), HttpRequest.get("/load").within(TIMEOUTS))
                .thenAccept(this::takeLoad);
    }

    private void askEvents() {
        String path = "/cache/events?after=" + lastEvent;
        caller.fetch(watched.target(), HttpRequest.get(path).within(TIMEOUTS)).thenAccept(this::takeEvents);
    }

    private void takeLoad(HttpResult result) {
        publish(loadOf(result));
        again(this::askLoad);
    }

    private CompanionEvent loadOf(HttpResult result) {
        try {
            if (result instanceof HttpResult.Answered answered && answered.isSuccess()) {
                JsonNode load = JsonBody.read(answered.body());
                return new CompanionEvent.LoadReported(
                        watched.name(),
                        new CompanionEvent.TargetLoad(
                                load.path("running").asInt(),
                                load.path("waiting").asInt(),
                                load.path("weight_version").asText(""),
                                load.path("age_millis").asLong()));
            }
        } catch (IOException malformed) {
            return new CompanionEvent.LoadReportMissed(watched.name());
        }
        return new CompanionEvent.LoadReportMissed(watched.name());
    }

    private void takeEvents(HttpResult result) {
        try {
            if (result instanceof HttpResult.Answered answered && answered.isSuccess()) {
                takePage(JsonBody.read(answered.body()));
            }
        } catch (IOException | IllegalArgumentException malformed) {
            // What was missed by it is a gap.
            publish(new CompanionEvent.CacheEventsReported(watched.name(), true, List.of()));
        }
        again(this::askEvents);
    }

    private void takePage(JsonNode page) throws IOException {
        long last = JsonBody.whole(page, "last");
        // An engine that restarted counts anew, and a cache that is empty again is all that is known of it.
        boolean gap = last < lastEvent;
        if (gap) {
            lastEvent = 0;
        }
        List<CompanionEvent.CacheEvent> events = new ArrayList<>();
        for (JsonNode each : JsonBody.list(page, "events")) {
            long sequence = each.path("sequence").asLong();
            if (sequence <= lastEvent) {
                continue;
            }
            if (sequence != lastEvent + 1) {
                // What came before the gap may have been undone within it.
                gap = true;
                events.clear();
            }
            lastEvent = sequence;
            events.add(new CompanionEvent.CacheEvent(
                    Digest.fromHex(each.path("block").asText()),
                    each.path("kind").asText().equals("stored")));
        }
        if (gap || !events.isEmpty()) {
            publish(new CompanionEvent.CacheEventsReported(watched.name(), gap, events));
        }
    }

    private void publish(CompanionEvent event) {
        if (!stopped) {
            publish.accept(event);
        }
    }

    private void again(Runnable ask) {
        if (!stopped) {
            timer.schedule(ask, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
