package org.rattanrudder.standins.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.EngineStandIn;

/**
 * A caller with a credential.
 *
 * @param client the client
 * @param credential its bearer credential
 */
public record Caller(CallerClient client, String credential) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Sends a prompt to be streamed, in a request class ({@code ""} for the service's default). */
    public CompletableFuture<Answer> prompt(
            Address entry, String service, String requestClass, String text, int answerTokens) {
        Map<String, String> headers = headers();
        if (!requestClass.isEmpty()) {
            headers.put("Rattanrudder-Class", requestClass);
        }
        return client.send(
                entry,
                "POST",
                "/v1/chat/completions",
                headers,
                body(service, text, answerTokens).toString());
    }

    /** Sends a plain call. */
    public CompletableFuture<Answer> plain(Address entry, String service, String method, String path, String body) {
        return client.send(entry, method, "/services/" + service + path, headers(), body);
    }

    /** Sends a plain call that isn't idempotent, with its key. */
    public CompletableFuture<Answer> keyed(Address entry, String service, String path, String key, String body) {
        Map<String, String> headers = headers();
        headers.put("Idempotency-Key", key);
        return client.send(entry, "POST", "/services/" + service + path, headers, body);
    }

    /** Returns the body of a chat request with one message of the user's. */
    static ObjectNode body(String service, String text, int answerTokens) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", service).put("stream", true).put("max_tokens", answerTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        return body;
    }

    /** Returns the answer that a stand-in engine gives to a prompt. */
    public static String expected(String text, int answerTokens) {
        return EngineStandIn.answerTo(("user\n" + text + "\n").getBytes(StandardCharsets.UTF_8), answerTokens);
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + credential);
        headers.put("Content-Type", "application/json");
        return headers;
    }
}
