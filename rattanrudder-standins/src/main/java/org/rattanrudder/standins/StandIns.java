package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.rattanrudder.core.model.Address;

/**
 * Starts the stand-ins of a plan in one process. A plan is JSON with comments.
 *
 * <pre>{@code
 * {"standins": [
 *   {"kind": "log", "address": "127.0.0.1:9000", "append_rate": 300},
 *   {"kind": "engine", "address": "127.0.0.1:9001", "block_capacity": 32}
 * ]}
 * }</pre>
 */
public final class StandIns implements Closeable {
    private static final Map<String, BiFunction<InetSocketAddress, Options, StandIn>> KINDS = Map.of(
            "engine", EngineStandIn::new,
            "plain", PlainServiceStandIn::new,
            "store", CacheStoreStandIn::new,
            "log", LogStandIn::new,
            "instances", InstanceListStandIn::new,
            "weights", WeightStoreStandIn::new);

    private final List<StandIn> started = new ArrayList<>();

    private StandIns() {}

    /**
     * Starts all that a plan names.
     *
     * @throws IllegalArgumentException if the plan can't be read
     */
    public static StandIns start(String plan) throws IOException {
        StandIns standIns = new StandIns();
        for (JsonNode each : Json.MAPPER.readTree(plan).path("standins")) {
            standIns.started.add(start(((ObjectNode) each).deepCopy()));
        }
        return standIns;
    }

    /**
     * Returns the stand-in at an address.
     *
     * @throws IllegalArgumentException if there is none of this kind
     */
    public <T extends StandIn> T at(Address address, Class<T> kind) {
        return started.stream()
                .filter(each -> each.address().equals(address))
                .filter(kind::isInstance)
                .map(kind::cast)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no " + kind.getSimpleName() + " at " + address));
    }

    private static StandIn start(ObjectNode node) {
        String kind = node.path("kind").asText();
        Address address = Address.parse(node.path("address").asText());
        node.remove(List.of("kind", "address"));
        BiFunction<InetSocketAddress, Options, StandIn> starter = KINDS.get(kind);
        if (starter == null) {
            throw new IllegalArgumentException("\"" + kind + "\" is no kind of stand-in: " + KINDS.keySet());
        }
        return starter.apply(new InetSocketAddress(address.host(), address.port()), new Options(node));
    }

    /** Stops all. */
    @Override
    public void close() {
        started.forEach(StandIn::close);
    }

    /** Starts the plan in the file named by the only argument and runs until the process is stopped. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 2 || !arguments[0].equals("--plan")) {
            System.err.println("usage: standins --plan FILE");
            System.exit(2);
        }
        Logger.getLogger("").setLevel(Level.WARNING);
        StandIns standIns = start(Files.readString(Path.of(arguments[1])));
        Runtime.getRuntime().addShutdownHook(new Thread(standIns::close));
        System.out.println("ready: " + standIns.started.size() + " stand-ins");
    }
}
