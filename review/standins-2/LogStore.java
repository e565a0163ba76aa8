package standins2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's store: a log with topics of one partition, as the page on the protocol tells it. */
final class LogStore implements AutoCloseable {
    private final HttpServer server;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private volatile boolean refusing;

    LogStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Background::thread));
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Answers all calls with 503 from now on, or serves them again. */
    void refuse(boolean now) {
        refusing = now;
    }

    /** Writes the newest record of a key; an empty value drops the key. */
    void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        append(topic, ByteBuffer.allocate(1 + name.length + content.length)
                .put((byte) name.length).put(name).put(content).array());
    }

    synchronized List<byte[]> records(String topic) {
        return new ArrayList<>(topics.getOrDefault(topic, List.of()));
    }

    private synchronized long append(String topic, byte[] record) {
        List<byte[]> all = topics.computeIfAbsent(topic, unseen -> new ArrayList<>());
        all.add(record);
        return all.size() - 1;
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String topic = query.getOrDefault("topic", "");
        try {
            Thread.sleep(4);
        } catch (InterruptedException ended) {
            return;
        }
        if (refusing) {
            answer(exchange, 503, new byte[0]);
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/log-newest" -> answer(exchange, 200, newest(topic, query.get("after")));
            case "/log-read" -> answer(exchange, 200, read(topic, Long.parseLong(query.get("from"))));
            case "/log-append" -> append(exchange, topic, query.get("at"), body);
            default -> answer(exchange, 404, new byte[0]);
        }
    }

    private synchronized byte[] newest(String topic, String after) {
        List<byte[]> all = topics.getOrDefault(topic, List.of());
        Map<String, String> items = new LinkedHashMap<>();
        for (int offset = 0; offset < all.size(); offset++) {
            byte[] record = all.get(offset);
            int length = record[0] & 0xff;
            String key = new String(record, 1, length, StandardCharsets.UTF_8);
            items.remove(key);
            if (record.length > 1 + length) {
                byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
                items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
            }
        }
        List<String> rows = after == null ? new ArrayList<>(items.values()) : List.of();
        return ("{\"items\":[" + String.join(",", rows) + "],\"more_pages\":false,\"end\":" + all.size() + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(String topic, long from) throws IOException {
        List<byte[]> all = topics.getOrDefault(topic, List.of());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(all.size());
        out.writeLong(0);
        for (int offset = (int) from; offset < all.size(); offset++) {
            out.writeInt(all.get(offset).length);
            out.write(all.get(offset));
        }
        return bytes.toByteArray();
    }

    private void append(HttpExchange exchange, String topic, String at, byte[] body) throws IOException {
        int status = 200;
        String text;
        synchronized (this) {
            int end = topics.getOrDefault(topic, List.of()).size();
            if (at != null && Long.parseLong(at) != end) {
                status = 412;
                text = "{\"end\":" + end + "}";
            } else {
                ByteBuffer records = ByteBuffer.wrap(body);
                while (records.hasRemaining()) {
                    byte[] record = new byte[records.getInt()];
                    records.get(record);
                    append(topic, record);
                }
                text = "{\"offset\":" + end + ",\"end\":" + topics.getOrDefault(topic, List.of()).size() + "}";
            }
        }
        answer(exchange, status, text.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                values.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return values;
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
