package org.rattanrudder.daemon.companion;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.rattanrudder.core.companion.CompanionEvent.StoredBlock;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.Digest;
import org.rattanrudder.daemon.http.JsonBody;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpResult;

/** The calls of one cache store. */
final class StoreClient {
    /** The largest block that is moved: it is held in memory until its digest is checked. */
    static final int LARGEST_BLOCK_BYTES = 64 << 20;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpCaller caller;
    private final Address store;

    StoreClient(HttpCaller caller, Address store) {
        this.caller = caller;
        this.store = store;
    }

    /** Returns the committed blocks among these; empty if the store didn't answer. */
    CompletableFuture<Optional<List<StoredBlock>>> lookUp(List<Digest> blocks) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode names = body.putArray("blocks");
        blocks.forEach(block -> names.add(block.toHex()));
        HttpRequest request = HttpRequest.json("POST", "/lookup", bytes(body)).reusing();
        return caller.fetch(store, request).thenApply(StoreClient::found);
    }

    CompletableFuture<HttpResult> read(Digest block) {
        return caller.fetch(store, HttpRequest.get(path(block)), LARGEST_BLOCK_BYTES);
    }

    CompletableFuture<HttpResult> readHead(Digest block) {
        return caller.fetch(store, HttpRequest.of("HEAD", path(block)).reusing());
    }

    CompletableFuture<HttpResult> begin(Digest block, long length) {
        ObjectNode body = MAPPER.createObjectNode().put("bytes", length);
        return caller.fetch(store, HttpRequest.json("POST", path(block) + "/begin", bytes(body)));
    }

    CompletableFuture<HttpResult> write(Digest block, long generation, byte[] content) {
        HttpRequest bare = HttpRequest.of("PUT", path(block) + "?generation=" + generation);
        return caller.fetch(
                store, new HttpRequest(bare.method(), bare.path(), bare.headers(), content, false, bare.timeouts()));
    }

    CompletableFuture<HttpResult> commit(Digest block, long generation, long length, Digest content) {
        ObjectNode body = MAPPER.createObjectNode().put("bytes", length).put("content", content.toHex());
        String path = path(block) + "/commit?generation=" + generation;
        return caller.fetch(store, HttpRequest.json("POST", path, bytes(body)));
    }

    void drop(Digest block) {
        caller.fetch(store, HttpRequest.of("DELETE", path(block)));
    }

    /** Returns the generation that a store gave for a write; empty if its answer can't be read. */
    static Optional<Long> generationOf(HttpResult.Answered begun) {
        try {
            JsonNode generation = JsonBody.read(begun.body()).path("generation");
            return generation.canConvertToLong() ? Optional.of(generation.asLong()) : Optional.empty();
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    private static Optional<List<StoredBlock>> found(HttpResult result) {
        if (!(result instanceof HttpResult.Answered answered) || !answered.isSuccess()) {
            return Optional.empty();
        }
        try {
            JsonNode body = JsonBody.read(answered.body());
            List<StoredBlock> blocks = new ArrayList<>();
            for (JsonNode each : JsonBody.list(body, "found")) {
                blocks.add(new StoredBlock(
                        Digest.fromHex(each.path("block").asText()),
                        body.path("incarnation").asLong(),
                        each.path("generation").asLong(),
                        each.path("bytes").asLong(),
                        Digest.fromHex(each.path("content").asText())));
            }
            return Optional.of(blocks);
        } catch (IOException | IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static String path(Digest block) {
        return "/blocks/" + block.toHex();
    }

    private static byte[] bytes(ObjectNode body) {
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
