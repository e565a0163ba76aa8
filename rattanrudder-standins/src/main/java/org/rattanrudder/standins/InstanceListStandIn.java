package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.rattanrudder.core.model.Address;

/**
 * Stands in for the platform's list of live and leaving instances, which lags. {@code POST /instances} sets what the
 * list says after its lag.
 *
 * <p>Options: {@code lag_millis}, {@code instances} (as the list shows them at first).
 */
public final class InstanceListStandIn implements StandIn {
    private final long lagNanos;
    private final StandInServer server;
    private JsonNode shown;
    private JsonNode coming;
    private long comingNanos;

    /** Starts a list at the address. */
    public InstanceListStandIn(InetSocketAddress listen, Options options) {
        lagNanos = TimeUnit.MILLISECONDS.toNanos(options.number("lag_millis", 2_000));
        ObjectNode first = Json.object();
        first.putArray("instances");
        options.raw("instances").forEach(first.withArray("instances")::add);
        options.refuseUnread();
        shown = first;
        coming = first;
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

    private synchronized Reply answer(StandInCall call) {
        if (System.nanoTime() - comingNanos >= 0) {
            shown = coming;
        }
        if (call.is("GET", "/instances")) {
            return Reply.json(200, shown);
        }
        if (call.is("POST", "/instances")) {
            coming = call.json();
            comingNanos = System.nanoTime() + lagNanos;
            return Reply.empty(204);
        }
        return Reply.error(404, "no such path");
    }
}
