package org.rattanrudder.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.rattanrudder.core.model.Address;

/**
 * Stands in for a cache store with limited memory. A slot may be read before it is committed and reused while it is
 * read; a restart loses everything and gives a new incarnation.
 *
 * <p>Options: {@code capacity_bytes}. Beyond the common faults it takes {@code reuse_slot} (the next block that is read
 * is overwritten half-way), and {@code POST /restart}.
 */
public final class CacheStoreStandIn implements StandIn {
    private final long capacityBytes;
    private final StandInServer server;
    private final Map<String, Slot> slots = new HashMap<>();
    private long incarnation = System.nanoTime() >>> 1;
    private long generation;
    private long usedBytes;

    /** Starts a store at the address. */
    public CacheStoreStandIn(InetSocketAddress listen, Options options) {
        capacityBytes = options.number("capacity_bytes", 64_000_000);
        options.refuseUnread();
        server = new StandInServer(listen, this::answer, path -> path.startsWith("/blocks/"), false);
    }

    @Override
    public Address address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    /** Returns the most bytes, both ways together, in any one second. */
    public long mostBytesInOneSecond() {
        return server.meter().mostInOneSecond();
    }

    private synchronized Reply answer(StandInCall call) {
        if (call.is("POST", "/lookup")) {
            return lookUp(call.json());
        }
        if (call.is("GET", "/stats")) {
            return stats();
        }
        if (call.is("POST", "/restart")) {
            return restart();
        }
        if (!call.exchange().getRequestPath().startsWith("/blocks/")) {
            return Reply.error(404, "no such path");
        }
        String name = call.segments().get(1);
        if (call.isUnder("POST", "/blocks/")) {
            boolean begin = call.segments().get(2).equals("begin");
            return begin ? begin(name, call.json()) : commit(name, call.query("generation", 0), call.json());
        }
        if (call.isUnder("PUT", "/blocks/")) {
            return put(name, call.query("generation", 0), call.body());
        }
        return call.isUnder("DELETE", "/blocks/") ? delete(name) : read(name);
    }

    private Reply lookUp(JsonNode wanted) {
        ObjectNode report = Json.object().put("incarnation", incarnation);
        ArrayNode found = report.putArray("found");
        for (JsonNode block : wanted.path("blocks")) {
            Slot slot = slots.get(block.asText());
            if (slot != null && slot.committed) {
                found.addObject()
                        .put("block", block.asText())
                        .put("generation", slot.generation)
                        .put("bytes", slot.bytes.length)
                        .put("content", slot.content);
            }
        }
        return Reply.json(200, report);
    }

    private Reply stats() {
        ObjectNode report = Json.object()
                .put("incarnation", incarnation)
                .put("blocks", slots.size())
                .put("bytes", usedBytes)
                .put("capacity_bytes", capacityBytes);
        return Reply.json(200, server.meter().addTo(report));
    }

    private Reply restart() {
        slots.clear();
        usedBytes = 0;
        incarnation++;
        return Reply.empty(204);
    }

    private Reply begin(String name, JsonNode wanted) {
        int bytes = wanted.path("bytes").asInt();
        free(name);
        if (server.faults().isFull() || usedBytes + bytes > capacityBytes) {
            return Reply.error(507, "full");
        }
        usedBytes += bytes;
        slots.put(name, new Slot(++generation, new byte[bytes]));
        return Reply.json(200, Json.object().put("incarnation", incarnation).put("generation", generation));
    }

    private Reply put(String name, long ofGeneration, byte[] body) {
        Slot slot = slots.get(name);
        if (slot == null || slot.generation != ofGeneration || body.length > slot.bytes.length) {
            return Reply.error(409, "another generation or length");
        }
        System.arraycopy(body, 0, slot.bytes, 0, body.length);
        slot.written = body.length;
        return Reply.empty(204);
    }

    private Reply commit(String name, long ofGeneration, JsonNode record) {
        Slot slot = slots.get(name);
        boolean whole = slot != null
                && slot.generation == ofGeneration
                && slot.written == slot.bytes.length
                && record.path("bytes").asInt() == slot.bytes.length;
        if (!whole) {
            return Reply.error(409, "another generation or length");
        }
        slot.content = record.path("content").asText();
        slot.committed = true;
        return Reply.empty(204);
    }

    private Reply read(String name) {
        Slot slot = slots.get(name);
        if (slot == null) {
            return Reply.error(404, "no such block");
        }
        Map<String, String> headers = Map.of(
                "Store-Incarnation", Long.toString(incarnation),
                "Generation", Long.toString(slot.generation),
                "Committed", Boolean.toString(slot.committed));
        return new Reply(200, headers, slot.bytes.length, sink -> send(slot, sink));
    }

    private void send(Slot slot, Reply.Sink sink) throws IOException {
        int half = slot.bytes.length / 2;
        sink.send(slot.bytes, 0, half);
        if (server.faults().takeSlotReuse()) {
            reuse(slot);
        }
        sink.send(slot.bytes, half, slot.bytes.length - half);
    }

    private synchronized void reuse(Slot slot) {
        slot.generation = ++generation;
        slot.committed = false;
        Arrays.fill(slot.bytes, (byte) 0x5a);
    }

    private Reply delete(String name) {
        free(name);
        return Reply.empty(204);
    }

    private void free(String name) {
        Slot slot = slots.remove(name);
        if (slot != null) {
            usedBytes -= slot.bytes.length;
        }
    }

    /** Room for one block: its bytes are there to read at any time, whole or not. */
    private static final class Slot {
        private final byte[] bytes;
        private volatile long generation;
        private volatile boolean committed;
        private int written;
        private String content = "";

        Slot(long generation, byte[] bytes) {
            this.generation = generation;
            this.bytes = bytes;
        }
    }
}
