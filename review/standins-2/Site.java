package standins2;

/** Records of a small deployment in the platform's store. */
final class Site {
    static final String KEY = "nu6wsjnbanfqasnmgkcu";
    static final String TENANT = "jeye930";
    static final String HOST = "pule25.example";

    private Site() {}

    /** The configuration: one route to plain servers that may run a request once, one that may repeat, two streams. */
    static String configuration(int version) {
        String common = ",\"host\":\"" + HOST + "\",\"priority\":1,\"public\":false";
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-post\",\"path_prefix\":\"/post/\",\"kind\":\"non_idempotent\",\"timeout_ms\":800,"
                + "\"target_latency_ms\":300,\"service\":\"ledger\",\"max_attempts\":1,\"sticky\":false" + common + "},"
                + "{\"name\":\"r-fetch\",\"path_prefix\":\"/fetch/\",\"kind\":\"idempotent\",\"timeout_ms\":800,"
                + "\"target_latency_ms\":300,\"service\":\"ledger\",\"max_attempts\":2,\"sticky\":false" + common + "},"
                + "{\"name\":\"r-audit\",\"path_prefix\":\"/audit/\",\"kind\":\"stream\",\"timeout_ms\":12000,"
                + "\"target_latency_ms\":800,\"service\":\"llm\",\"max_attempts\":1,\"sticky\":true,"
                + "\"resumable\":false,\"gap_target_ms\":300" + common + "},"
                + "{\"name\":\"r-check\",\"path_prefix\":\"/check/\",\"kind\":\"stream\",\"timeout_ms\":4000,"
                + "\"target_latency_ms\":400,\"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,"
                + "\"resumable\":true,\"gap_target_ms\":300" + common + "}],"
                + "\"services\":["
                + "{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\","
                + "\"tls\":false},"
                + "{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":610,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":128,\"kv_capacity_tokens\":65637,\"token_kv_bytes\":18432,"
                + "\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"managed\":true,\"stride\":5,"
                + "\"max_in_flight\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
                + "\"models\":[{\"name\":\"m0\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** The entry of a plain server. */
    static String plainServer(String address, String zone) {
        return "{\"service\":\"ledger\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4}";
    }

    /** The entry of a model server. */
    static String modelServer(String address, String zone, long weights) {
        return "{\"service\":\"llm\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"cold_remaining_ms\":0,"
                + "\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":" + weights
                + ",\"adapters\":[]}],\"sequence\":4}";
    }

    /** A request of a client. */
    static String request(String method, String path, String id, long deadlineMillis, String more, String body) {
        return method + " " + path + " HTTP/1.1\nHost: " + HOST + "\nX-Request-Id: " + id + "\nX-Deadline-Ms: "
                + deadlineMillis + "\nAuthorization: Bearer " + KEY + "\n" + more
                + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\n") + "\n" + body;
    }
}
