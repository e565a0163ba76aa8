package org.rattanrudder.standins.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.load.Answer;
import org.rattanrudder.standins.load.CallerClient;

/** Does an operator's work at an entry. */
public final class Operator {
    private static final Map<String, String> HEADERS =
            Map.of("Authorization", "Bearer " + Layout.OPERATOR_CREDENTIAL, "Content-Type", "application/json");

    private final CallerClient client;
    private final Address entry;

    /** Creates an operator who talks to this entry. */
    public Operator(CallerClient client, Address entry) {
        this.client = client;
        this.entry = entry;
    }

    /** Publishes a document that was edited from the given revision. */
    public Answer publish(String service, long baseRevision, String text) {
        ObjectNode edit = new ObjectMapper().createObjectNode();
        edit.put("base_revision", baseRevision).put("text", text);
        return client.call(entry, "POST", "/operator/services/" + service, HEADERS, edit.toString());
    }

    /** Returns the revision of a service that the entry holds in force; 0 for none. */
    public long revision(String service) {
        return client.call(entry, "GET", "/operator/services/" + service, HEADERS, "")
                .json()
                .path("revision")
                .asLong();
    }

    /** Returns the system as the entry sees it. */
    public JsonNode status() {
        return client.call(entry, "GET", "/operator/status", HEADERS, "").json();
    }
}
