package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A store of KV cache with "managed": it drops nothing on its own and frees parts when it is told to. */
final class KvStore implements AutoCloseable {
    static final int CAPACITY_TOKENS = 652_319;
    static final double LINK_MBPS = 36_000;
    static final double FIRST_MILLIS = 6;

    private static final Pattern PART = Pattern.compile("\\[\"([^\"]*)\",\"([^\"]*)\"\\]");
    private static final long EVENT_LAG_MILLIS = 60;

    private final Record record;
    private final Http.Server server;
    private final long epoch = System.nanoTime() & 0xFFFF_FFFFL;
    private final Map<String, Integer> held = new LinkedHashMap<>();
    private final TreeMap<Long, String> events = new TreeMap<>();
    private final Map<Long, Long> toldAt = new LinkedHashMap<>();
    private final List<Fetch> fetches = new ArrayList<>();
    private long lastEvent;

    /** A fetch in progress. */
    static final class Fetch {
        final String request;
        final String part;
        boolean freedMeanwhile;

        Fetch(String request, String part) {
            this.request = request;
            this.part = part;
        }
    }

    KvStore(Record record) throws IOException {
        this.record = record;
        server = new Http.Server(this::handle);
    }

    String address() {
        return server.address();
    }

    String configuration() {
        return "{\"name\":\"memoire-b\",\"kv_store_addr\":\"" + address() + "\",\"zone\":\"sillery\","
                + "\"kv_capacity_tokens\":" + CAPACITY_TOKENS + ",\"link_mbps\":" + LINK_MBPS
                + ",\"max_in_flight\":12,\"managed\":true,\"first_ms\":" + FIRST_MILLIS + "}";
    }

    synchronized int size() {
        return held.size();
    }

    /** Holds a part, complete. */
    synchronized void save(String salt, String id, int tokens, String model) {
        if (held.putIfAbsent(salt + "/" + id, tokens) == null) {
            event("+", salt, id, tokens, model);
        }
    }

    /** Begins a fetch; null if the part isn't there, which is a miss. */
    synchronized Fetch begin(String request, String salt, String id) {
        if (!held.containsKey(salt + "/" + id)) {
            return null;
        }
        Fetch fetch = new Fetch(request, salt + "/" + id);
        fetches.add(fetch);
        return fetch;
    }

    /** Ends a fetch; returns whether its part was freed meanwhile. */
    synchronized boolean end(Fetch fetch) {
        fetches.remove(fetch);
        return fetch.freedMeanwhile;
    }

    private void event(String sign, String salt, String id, int tokens, String model) {
        long number = ++lastEvent;
        events.put(
                number,
                "[" + number + ",\"" + sign + "\",\"" + salt + "\",\"" + id + "\"," + tokens + ",\"" + model + "\"]");
        toldAt.put(number, System.currentTimeMillis() + EVENT_LAG_MILLIS);
        notifyAll();
    }

    private void handle(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        switch (request.path()) {
            case "/kv-events" -> Http.json(out, 200, changes(request));
            case "/kv-list" -> Http.json(out, 200, list());
            case "/kv-free" -> Http.json(out, 200, free(request.text()));
            default -> Http.json(out, 404, "{}");
        }
    }

    private synchronized String changes(Http.Message request) throws InterruptedException {
        long since = Long.parseLong(request.query("since"));
        String wait = request.header("wait-ms");
        long until = System.currentTimeMillis() + (wait.isEmpty() ? 0 : Long.parseLong(wait));
        while (told(since).isEmpty() && System.currentTimeMillis() < until) {
            wait(Math.min(20, Math.max(1, until - System.currentTimeMillis())));
        }
        Map<Long, String> found = told(since);
        long next = found.keySet().stream().mapToLong(Long::longValue).max().orElse(since);
        return "{\"boot_epoch\":" + epoch + ",\"next\":" + next + ",\"lost\":false,\"events\":["
                + String.join(",", found.values()) + "],\"clock_ms\":" + System.currentTimeMillis() + "}";
    }

    private Map<Long, String> told(long since) {
        Map<Long, String> found = new LinkedHashMap<>();
        events.tailMap(since, false).forEach((number, event) -> {
            if (toldAt.get(number) <= System.currentTimeMillis()) {
                found.put(number, event);
            }
        });
        return found;
    }

    private synchronized String list() {
        List<String> rows = new ArrayList<>();
        held.forEach((part, tokens) -> rows.add("[\"" + part.substring(0, part.indexOf('/')) + "\",\""
                + part.substring(part.indexOf('/') + 1) + "\"," + tokens + ",\"" + Engine.MODEL + "\"]"));
        return "{\"boot_epoch\":" + epoch + ",\"next\":" + lastEvent + ",\"held\":[" + String.join(",", rows)
                + "],\"partial\":[],\"clock_ms\":" + System.currentTimeMillis() + "}";
    }

    private synchronized String free(String body) {
        int freed = 0;
        int inUse = 0;
        Matcher parts = PART.matcher(body);
        while (parts.find()) {
            String part = parts.group(1) + "/" + parts.group(2);
            Integer tokens = held.remove(part);
            if (tokens == null) {
                continue;
            }
            freed++;
            event("-", parts.group(1), parts.group(2), tokens, Engine.MODEL);
            for (Fetch fetch : fetches) {
                if (fetch.part.equals(part)) {
                    fetch.freedMeanwhile = true;
                    inUse++;
                }
            }
        }
        record.line("store frees " + freed + " parts, " + inUse + " of them while they are fetched");
        return "{}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
