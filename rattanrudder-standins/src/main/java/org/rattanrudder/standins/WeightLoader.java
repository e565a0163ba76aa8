package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Takes orders for an engine and loads weights in the background, the latest order winning. */
final class WeightLoader {
    private static final long RETRY_MILLIS = 200;

    private final EngineSettings settings;
    private final EngineBatch batch;
    private final List<String> versions = new ArrayList<>();
    private long fencing;
    private String model = "";
    private String version = "";
    private String state = "none";
    private long orders;

    WeightLoader(EngineSettings settings, EngineBatch batch) {
        this.settings = settings;
        this.batch = batch;
    }

    synchronized Reply order(JsonNode order) {
        long number = order.path("fencing").asLong();
        if (settings.checksFencing() && number < fencing) {
            return Reply.error(409, "a newer fencing number was seen: " + fencing);
        }
        boolean repeated = state.equals("loading")
                && model.equals(order.path("model").asText())
                && version.equals(order.path("version").asText());
        fencing = number;
        model = order.path("model").asText();
        version = order.path("version").asText();
        versions.add(version);
        if (repeated) {
            return Reply.empty(202);
        }
        orders++;
        if (batch.isActive(model, version)) {
            state = "done";
            return Reply.empty(200);
        }
        state = "loading";
        Thread thread = new Thread(new Load(orders, model, version), "stand-in-weights");
        thread.setDaemon(true);
        thread.start();
        return Reply.empty(202);
    }

    /** Returns the versions that the orders asked for, refused ones left out, in the order in which they came. */
    synchronized List<String> versions() {
        return List.copyOf(versions);
    }

    synchronized Reply last() {
        return Reply.json(
                200,
                Json.object()
                        .put("fencing", fencing)
                        .put("model", model)
                        .put("version", version)
                        .put("state", state));
    }

    private synchronized boolean isLatest(long order) {
        return order == orders;
    }

    private synchronized void loaded(Load load) {
        if (load.order == orders) {
            batch.activate(load.model, load.version);
            state = "done";
        }
    }

    /** One load of weights; it gives up when a later order came. */
    private final class Load implements Runnable {
        private final long order;
        private final String model;
        private final String version;

        Load(long order, String model, String version) {
            this.order = order;
            this.model = model;
            this.version = version;
        }

        @Override
        public void run() {
            while (isLatest(order)) {
                if (settings.weightStore().isEmpty() || read()) {
                    loaded(this);
                    return;
                }
                Pace.waitUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS));
            }
        }

        private boolean read() {
            try {
                URL url = new URL("http://" + settings.weightStore() + "/weights/" + model + "/" + version);
                HttpURLConnection connection = (HttpURLConnection) url.openConnection();
                try (InputStream weights = connection.getInputStream()) {
                    weights.transferTo(OutputStream.nullOutputStream());
                }
                return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
            } catch (IOException unreachable) {
                return false;
            }
        }
    }
}
