package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** The platform's store: a log with topics of one partition each. */
final class Store implements AutoCloseable {
    private static final class Topic {
        final TreeMap<Long, byte[]> records = new TreeMap<>();
        final Map<Long, Long> writtenAt = new HashMap<>();
        final Map<String, Long> newest = new LinkedHashMap<>();
        final Map<String, byte[]> values = new HashMap<>();
        long first;
        long end;
    }

    /** Told of each record that a process of the system appends. */
    interface Listener {
        void onAppended(String topic, long offset, byte[] record);
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final Http.Server server;
    private final Listener listener;
    private volatile boolean away;
    private volatile int era = 1;

    Store(Listener listener) throws IOException {
        this.listener = listener;
        server = new Http.Server((request, out) -> handle(request, out, () -> false));
    }

    /** An address of the store for one machine of the system, which the store may turn away. */
    final class Door implements AutoCloseable {
        private final Http.Server own;
        private volatile boolean refusing;

        private Door() throws IOException {
            own = new Http.Server((request, out) -> handle(request, out, () -> refusing));
        }

        String address() {
            return own.address();
        }

        /** Answers all calls with 503, pending ones too, or serves them again. */
        void refuse(boolean now) {
            refusing = now;
            synchronized (Store.this) {
                Store.this.notifyAll();
            }
        }

        @Override
        public void close() throws IOException {
            own.close();
        }
    }

    Door door() throws IOException {
        return new Door();
    }

    String address() {
        return server.address();
    }

    /** Writes a record with a key, as the operator or a server does; a null value removes the key. */
    synchronized long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
        record.put((byte) name.length).put(name).put(bytes);
        return append(topic, record.array());
    }

    private long append(String name, byte[] record) {
        Topic topic = topics.computeIfAbsent(name, unseen -> new Topic());
        long offset = topic.end++;
        topic.records.put(offset, record);
        topic.writtenAt.put(offset, System.nanoTime());
        index(name, topic, offset, record);
        notifyAll();
        return offset;
    }

    private static void index(String name, Topic topic, long offset, byte[] record) {
        if (name.startsWith("keyed.")) {
            int length = record[0] & 0xFF;
            String key = new String(record, 1, length, StandardCharsets.UTF_8);
            topic.newest.remove(key);
            if (record.length > 1 + length) {
                topic.newest.put(key, offset);
                topic.values.put(key, java.util.Arrays.copyOfRange(record, 1 + length, record.length));
            }
        }
    }

    /** Answers all calls with 503, or serves them again. */
    void setAway(boolean now) {
        away = now;
        synchronized (this) {
            notifyAll();
        }
    }

    /**
     * Comes back from a copy: what was written in the last seconds is gone, and its offsets are given out again. What
     * the operator and the servers wrote is written again, at new offsets.
     */
    synchronized void returnFromCopy(double seconds) {
        long copiedAt = System.nanoTime() - (long) (seconds * 1e9);
        era++;
        topics.forEach((name, topic) -> {
            List<byte[]> lost = new ArrayList<>();
            while (!topic.records.isEmpty() && topic.writtenAt.get(topic.records.lastKey()) > copiedAt) {
                lost.add(0, topic.records.pollLastEntry().getValue());
            }
            topic.end -= lost.size();
            topic.newest.clear();
            topic.values.clear();
            topic.records.forEach((offset, record) -> index(name, topic, offset, record));
            if (name.equals("keyed.op") || name.equals("keyed.servers")) {
                lost.forEach(record -> append(name, record));
            }
        });
        notifyAll();
    }

    private void handle(Http.Message request, OutputStream out, BooleanSupplier refusing)
            throws IOException, InterruptedException {
        if (away || refusing.getAsBoolean()) {
            json(out, 503, "{}");
            return;
        }
        String topic = URLDecoder.decode(request.query("topic"), StandardCharsets.UTF_8);
        switch (request.path()) {
            case "/log-newest" -> json(out, 200, listing(topic));
            case "/log-read" -> read(request, topic, out, refusing);
            case "/log-append" -> append(request, topic, out);
            default -> json(out, 404, "{}");
        }
    }

    private String eraHeader() {
        return "Store-Era: " + era + "\r\n";
    }

    private void json(OutputStream out, int status, String body) throws IOException {
        String headers = "Content-Type: application/json\r\n" + eraHeader();
        Http.answer(out, status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized String listing(String name) {
        Topic topic = topics.computeIfAbsent(name, unseen -> new Topic());
        StringBuilder items = new StringBuilder();
        topic.newest.forEach((key, offset) -> items.append(items.length() == 0 ? "" : ",")
                .append("{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(topic.values.get(key)) + "\",\"offset\":" + offset
                        + "}"));
        return "{\"items\":[" + items + "],\"more_pages\":false,\"end\":" + topic.end + "}";
    }

    private void read(Http.Message request, String name, OutputStream out, BooleanSupplier refusing)
            throws IOException, InterruptedException {
        long from = Long.parseLong(request.query("from"));
        String wait = request.query("wait_ms");
        long until = System.nanoTime() + 1_000_000L * (wait.isEmpty() ? 0 : Long.parseLong(wait));
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        long first;
        long end;
        synchronized (this) {
            Topic topic = topics.computeIfAbsent(name, unseen -> new Topic());
            while (from == topic.end
                    && from >= topic.first
                    && !refusing.getAsBoolean()
                    && !away
                    && until - System.nanoTime() > 1_000_000) {
                wait((until - System.nanoTime()) / 1_000_000);
            }
            first = topic.first;
            end = topic.end;
            content.writeBytes(ByteBuffer.allocate(16).putLong(topic.end).putLong(first).array());
            topic.records.tailMap(from).values().forEach(record -> {
                content.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                content.writeBytes(record);
            });
        }
        if (away || refusing.getAsBoolean()) {
            json(out, 503, "{}");
        } else if (from < first || from > end) {
            json(out, 410, "{\"first\":" + first + "}");
        } else {
            Http.answer(out, 200, eraHeader(), content.toByteArray());
        }
    }

    private void append(Http.Message request, String name, OutputStream out) throws IOException {
        String answer;
        int status = 200;
        synchronized (this) {
            Topic topic = topics.computeIfAbsent(name, unseen -> new Topic());
            String at = request.query("at");
            long offset = topic.end;
            if (!at.isEmpty() && Long.parseLong(at) != topic.end) {
                status = 412;
                answer = "{\"end\":" + topic.end + "}";
            } else {
                ByteBuffer body = ByteBuffer.wrap(request.body());
                while (body.hasRemaining()) {
                    byte[] record = new byte[body.getInt()];
                    body.get(record);
                    listener.onAppended(name, append(name, record), record);
                }
                answer = "{\"offset\":" + offset + ",\"end\":" + topic.end + "}";
            }
        }
        json(out, status, answer);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
