package org.rattanrudder.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.daemon.http.JsonBody;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;

/** Polls the platform's list of instances, which lags behind their actual state. */
public final class InstanceListReader {
    /** The polling interval; a shorter one gains nothing, since the list lags by more than that. */
    public static final long POLL_INTERVAL_MILLIS = 2_000;

    private final HttpCaller caller;
    private final Address address;
    private final Consumer<List<EntryEvent.ListedInstance>> listener;

    /**
     * Creates a reader.
     *
     * @param caller the HTTP client
     * @param address the address of the service that serves the list
     * @param listener receives each list; not called if the list can't be read, so that the last one stays valid
     */
    public InstanceListReader(HttpCaller caller, Address address, Consumer<List<EntryEvent.ListedInstance>> listener) {
        this.caller = caller;
        this.address = address;
        this.listener = listener;
    }

    /** Reads the list once. */
    public void poll() {
        caller.fetch(address, HttpRequest.get("/instances")).thenAccept(this::onResult);
    }

    private void onResult(HttpResult result) {
        if (!(result instanceof HttpResult.Answered answered) || !answered.isSuccess()) {
            return;
        }
        try {
            listener.accept(parse(JsonBody.read(answered.body())));
        } catch (IOException | IllegalArgumentException malformed) {
            // The list is only a hint, so a malformed one is ignored.
            return;
        }
    }

    private static List<EntryEvent.ListedInstance> parse(JsonNode body) throws IOException {
        List<EntryEvent.ListedInstance> instances = new ArrayList<>();
        for (JsonNode each : JsonBody.list(body, "instances")) {
            Address instance = Address.parse(each.path("address").asText());
            instances.add(new EntryEvent.ListedInstance(
                    instance, each.path("state").asText().equals("leaving")));
        }
        return instances;
    }
}
