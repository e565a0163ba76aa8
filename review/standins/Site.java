package review;

import java.util.List;

/** The records that the operator and the servers write, as the pages show them. */
final class Site {
    static final String HOST = "review.example";
    static final int MAX_BODY_BYTES = 4_194_304;

    private Site() {}

    /** Returns a configuration of some routes, the plain service "comptoir" and the engines "atelier-llm". */
    static String configuration(int version, int idleTimeoutMillis, List<String> routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + "{\"name\":\"comptoir\",\"health_path\":\"/health\",\"max_connections\":96},"
                + "{\"name\":\"atelier-llm\",\"health_path\":\"/health\",\"max_connections\":360,"
                + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":93506,\"token_kv_bytes\":18432,"
                + "\"link_mbps\":180000.0}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
                + MAX_BODY_BYTES + ",\"header_timeout_ms\":5000,\"idle_timeout_ms\":" + idleTimeoutMillis + "}}";
    }

    static String route(String name, String kind, String service, int timeoutMillis, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name + "/\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":300,\"priority\":1,"
                + "\"service\":\"" + service + "\",\"max_attempts\":" + attempts + "}";
    }

    static String server(String service, String address, String models) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"limoilou\","
                + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1" + models
                + "}";
    }
}
